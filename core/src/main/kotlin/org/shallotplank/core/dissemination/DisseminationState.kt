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

/** State of [Dissemination] in one process; created by [Dissemination.start]. */
@ConsistentCopyVisibility
public data class DisseminationState internal constructor(
    val self: Peer,
    /** Manifest of the highest accepted version that the process has received. */
    val known: Manifest? = null,
    /** Manifest that the process uses; it holds all sections that it needs of it. */
    val inForce: Manifest? = null,
    /** Whether the process has caught up and may take new work. */
    val isReady: Boolean = false,
    /** Notices that have not expired, by [Notice.key]. */
    val notices: PersistentMap<String, Notice> = persistentMapOf(),
    /** Latest known load of each availability zone. */
    val loads: PersistentMap<ZoneName, ZoneLoad> = persistentMapOf(),
    /** Order-independent hash of [notices]; peers compare it to detect differences. */
    internal val noticeHash: Long = 0,
    /** The change that led to [inForce]. */
    internal val lastDelta: ManifestDelta? = null,
    /** Peer that sent [known]; null if it was read from the table. */
    internal val origin: InstanceId? = null,
    /** A peer that holds the sections that changed with [known]. */
    internal val holder: InstanceId? = null,
    /** Contents of sections by their hash. */
    internal val contents: PersistentMap<Sha256, String> = persistentMapOf(),
    internal val fetches: PersistentMap<Sha256, Fetch> = persistentMapOf(),
    internal val links: Links = Links(),
    internal val catchUp: CatchUp,
    internal val timers: Timers,
    /** Highest version that a peer reported as in force. */
    internal val highestReportedVersion: ConfigurationVersion = ConfigurationVersion.None,
    /** Id of the next table read or digest. */
    internal val nextId: Long
) {
    internal val knownVersion: ConfigurationVersion
        get() = known?.version ?: ConfigurationVersion.None

    internal val inForceVersion: ConfigurationVersion
        get() = inForce?.version ?: ConfigurationVersion.None
}

/** The processes that this process exchanges messages with. */
internal data class Links(
    val peers: PersistentList<InstanceId> = persistentListOf(),
    /** Processes that chose this one as a peer, with the time of their last message. */
    val senders: PersistentMap<InstanceId, Instant> = persistentMapOf(),
    /** Number of processes that share the rate of table reads. */
    val memberCount: Int = 1,
    /** Time of the last message from any process. */
    val lastContactAt: Instant? = null
) {
    /** Chosen peers and recent senders. */
    val all: List<InstanceId> get() = peers + senders.keys
}

/** A running fetch of the content of a section; [attempt] selects the source. */
internal data class Fetch(val attempt: Int, val deadline: Instant)

/**
 * Progress of catching up after a start or a suspension.
 *
 * It shows whether the process knows the versions that were accepted before.
 */
internal data class CatchUp(
    /** Id of the first read or digest of this catch-up; answers to lower ids do not count. */
    val firstId: Long,
    val tableAnswered: Boolean = false,
    val tableFailed: Boolean = false,
    val peersAnswered: PersistentSet<InstanceId> = persistentSetOf(),
    val highestVersion: ConfigurationVersion = ConfigurationVersion.None
)

/** Times at which periodic actions last ran or are due next. */
internal data class Timers(
    val lastEventAt: Instant,
    val lastReadAt: Instant? = null,
    /** Delay until the next table read, as a multiple of the average interval. */
    val readWaitFactor: Double = 1.0,
    val nextDigestAt: Instant = lastEventAt,
    /** Id of the digest sent at [digestSentAt]; null once it is answered. */
    val openProbe: Long? = null,
    val digestSentAt: Instant = lastEventAt,
    val nextLoadsAt: Instant = lastEventAt,
    val manifestRequestedAt: Instant? = null
)
