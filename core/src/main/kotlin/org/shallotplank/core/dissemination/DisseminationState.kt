package org.shallotplank.core.dissemination

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/** What one process knows and is waiting for; made by [Dissemination.start]. */
@ConsistentCopyVisibility
public data class DisseminationState internal constructor(
    val self: Peer,
    /** Manifest of the highest accepted version that the process knows. */
    val known: Manifest? = null,
    /** Manifest that the process acts on; all sections that it needs are held. */
    val inForce: Manifest? = null,
    /** Whether the process has caught up and may take work. */
    val isReady: Boolean = false,
    /** Notices that have not expired, by [Notice.key]. */
    val notices: PersistentMap<String, Notice> = persistentMapOf(),
    /** Latest known load of each availability zone. */
    val loads: PersistentMap<ZoneName, ZoneLoad> = persistentMapOf(),
    internal val noticeHash: Long = 0,
    /** The change that led to [inForce]. */
    internal val lastDelta: ManifestDelta? = null,
    /** Who told about [known]; null when the table did. */
    internal val origin: InstanceId? = null,
    /** A peer that holds the sections that changed with [known]. */
    internal val holder: InstanceId? = null,
    internal val contents: PersistentMap<Sha256, String> = persistentMapOf(),
    internal val fetches: PersistentMap<Sha256, Fetch> = persistentMapOf(),
    internal val links: Links = Links(),
    internal val catchUp: CatchUp,
    internal val timers: Timers,
    /** Highest version that a peer has told to be in force. */
    internal val highestReportedVersion: ConfigurationVersion = ConfigurationVersion.None,
    internal val nextId: Long
) {
    internal val knownVersion: ConfigurationVersion
        get() = known?.version ?: ConfigurationVersion.None

    internal val inForceVersion: ConfigurationVersion
        get() = inForce?.version ?: ConfigurationVersion.None
}

/** The processes that messages are exchanged with. */
internal data class Links(
    val peers: PersistentList<InstanceId> = persistentListOf(),
    /** Processes that chose this one as a peer, and when they were last heard. */
    val senders: PersistentMap<InstanceId, Instant> = persistentMapOf(),
    val memberCount: Int = 1,
    val lastContactAt: Instant? = null
) {
    /** Chosen peers and recent senders. */
    val all: List<InstanceId> get() = peers + senders.keys
}

/** An attempt to get the content of a section. */
internal data class Fetch(val attempt: Int, val deadline: Instant)

/** Evidence that the process knows what was accepted before it started or woke. */
internal data class CatchUp(
    /** Reads and digests with lower ids were sent before the catching up began. */
    val firstId: Long,
    val tableAnswered: Boolean = false,
    val tableFailed: Boolean = false,
    val peersAnswered: PersistentSet<InstanceId> = persistentSetOf(),
    val highestVersion: ConfigurationVersion = ConfigurationVersion.None
)

/** When something is due next, or was done last. */
internal data class Timers(
    val lastEventAt: Instant,
    val lastReadAt: Instant? = null,
    /** The wait for the next read of the table, in average waits. */
    val readWaitFactor: Double = 1.0,
    val nextDigestAt: Instant = lastEventAt,
    /** Identifies the digest that was not answered yet, sent at [digestSentAt]. */
    val openProbe: Long? = null,
    val digestSentAt: Instant = lastEventAt,
    val nextLoadsAt: Instant = lastEventAt,
    val manifestRequestedAt: Instant? = null
)
