package org.shallotplank.core.dissemination

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.config.SerializableList

/**
 * A message between two processes of the system.
 *
 * Messages may be lost, delayed, duplicated or reordered. Receivers treat each as a hint about
 * accepted versions and notices, so none needs an acknowledgement. The fields of periodic
 * messages have short serial names, which saves a third of their bytes.
 */
@Serializable
public sealed interface PeerMessage {
    /**
     * Summary of the sender's state, exchanged periodically.
     *
     * The receiver answers with its own digest, in which [isReply] is set and [probe] is that of
     * the request.
     */
    @Serializable
    @SerialName("digest")
    public data class Digest(
        /** The version that is in force at the sender. */
        @SerialName("v") val version: ConfigurationVersion,
        /** [DisseminationState.noticeHash] of the sender. */
        @SerialName("n") val noticeHash: Long,
        /** Id of the request, chosen by its sender. */
        @SerialName("p") val probe: Long,
        @SerialName("r") val isReply: Boolean = false,
        @SerialName("l") val loads: SerializableList<ZoneLoad> = persistentListOf()
    ) : PeerMessage

    /** A version that the table has accepted, as a change to an older version. */
    @Serializable
    @SerialName("push")
    public data class ConfigurationPush(
        val delta: ManifestDelta,
        /** Whether the sender can be asked for the contents of the changed sections. */
        val isHolder: Boolean = true
    ) : PeerMessage

    /** Requests the receiver's manifest if it is newer than [known], the sender's version. */
    @Serializable
    @SerialName("get-manifest")
    public data class ManifestRequest(val known: ConfigurationVersion) : PeerMessage

    /** Requests the content of a section. */
    @Serializable
    @SerialName("get-section")
    public data class SectionRequest(val sha256: Sha256) : PeerMessage

    /** Answers a [SectionRequest]; [content] is null when the sender does not hold it. */
    @Serializable
    @SerialName("section")
    public data class SectionReply(val sha256: Sha256, val content: String?) : PeerMessage

    /** Notices that the receiver may lack. */
    @Serializable
    @SerialName("notices")
    public data class Notices(val notices: SerializableList<Notice>) : PeerMessage
}
