package org.shallotplank.core.dissemination

import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import org.shallotplank.core.InstanceId

/** Events that [Dissemination] handles. */
public sealed interface DisseminationEvent {
    public val now: Instant

    /** Periodic timer event, expected every [DisseminationSettings.tickInterval]. */
    public data class Tick(override val now: Instant) : DisseminationEvent

    /** The result of [DisseminationEffect.ReadTable] with the same [readId]. */
    public data class TableRead(
        override val now: Instant,
        val readId: Long,
        val result: TableReadResult
    ) : DisseminationEvent

    /** Another process sent [message]. */
    public data class MessageReceived(
        override val now: Instant,
        val from: InstanceId,
        val message: PeerMessage
    ) : DisseminationEvent

    /**
     * The chosen [peers] of this process have changed.
     *
     * [memberCount] is the number of processes that share the rate of table reads.
     */
    public data class PeersChanged(
        override val now: Instant,
        val peers: PersistentList<Peer>,
        val memberCount: Int
    ) : DisseminationEvent

    /** The result of [DisseminationEffect.FetchSection]; [content] is null on any failure. */
    public data class SectionFetched(
        override val now: Instant,
        val sha256: Sha256,
        val content: String?
    ) : DisseminationEvent

    /** This process publishes [notice] to all others. */
    public data class NoticeRaised(override val now: Instant, val notice: Notice) :
        DisseminationEvent

    /**
     * This process has measured the load of its availability zone.
     *
     * Ignored while the last report of the zone is younger than
     * [DisseminationSettings.loadInterval], so that each zone reports once per interval,
     * regardless of how many processes measure it.
     */
    public data class LoadMeasured(override val now: Instant, val load: ZoneLoad) :
        DisseminationEvent
}

/** Result of reading the manifest's key. */
public sealed interface TableReadResult {
    /** The key holds [manifest]. */
    public data class Found(val manifest: Manifest) : TableReadResult

    /** The key has not changed since the last read, or nothing was ever published. */
    public data object Unchanged : TableReadResult

    /** The table did not answer in time, or answered with an error. */
    public data object Unavailable : TableReadResult
}
