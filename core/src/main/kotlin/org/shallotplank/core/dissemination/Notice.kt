package org.shallotplank.core.dissemination

import kotlin.time.Instant
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.quarantine.RequestFingerprint

/** A fact that is sent to all processes and holds until it expires; it cannot be withdrawn. */
@Serializable
public sealed interface Notice {
    /** Time at which processes remove the notice. */
    public val expiresAt: Instant

    /** Identity of the notice; of two with the same key the one that expires later is kept. */
    public val key: String

    /**
     * The instance is shutting down and takes no new work.
     *
     * The notice applies to [incarnation] and older ones, so one that arrives after the instance
     * has restarted does not affect the next incarnation.
     */
    @Serializable
    @SerialName("leaving")
    public data class Leaving(
        val instance: InstanceId,
        val incarnation: Long,
        override val expiresAt: Instant
    ) : Notice {
        override val key: String get() = "leaving/$instance/$incarnation"
    }

    /** An upstream crashed while it ran [attempt] of the request with [fingerprint]. */
    @Serializable
    @SerialName("crashed")
    public data class Crashed(
        val fingerprint: RequestFingerprint,
        val attempt: AttemptId,
        val at: Instant,
        override val expiresAt: Instant
    ) : Notice {
        override val key: String
            get() = "crashed/${fingerprint.customer}/${fingerprint.bodySha256}/$attempt"
    }
}
