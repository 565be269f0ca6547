package org.shallotplank.gateway.peer

import kotlin.time.Instant
import org.shallotplank.core.Address

/** The observed state of another entry. */
internal class PeerView(val address: Address) {
    var report: PeerReport? = null

    /** A time before or at which the entry made its [report]. */
    var lastContactAt: Instant = Instant.DISTANT_PAST
    var isAlive: Boolean = false

    /** The last fetched versions of its [PeerTables], by name. */
    val fetchedVersions = HashMap<String, OfferedVersion>()

    /** The last rows of its tables that are passed on as its own, by name. */
    val tables = HashMap<String, ReceivedTable>()

    /** [report] as the entry encoded it. */
    var encodedReport: ByteArray = ByteArray(0)

    /** How [report] came to this entry. */
    var origin: ReportOrigin = ReportOrigin.HUB

    /** [lastContactAt] of the latest report that no hub passed on to another hub on its way. */
    var directAt: Instant = Instant.DISTANT_PAST

    /** Until when a hub need not poll the entry, since its reports arrive by exchange. */
    var coveredUntil: Instant = Instant.DISTANT_PAST

    /** Until when it is not asked for an exchange, because it failed to answer one. */
    var avoidedUntil: Instant = Instant.DISTANT_PAST

    /** Until when it counts as of a build without the exchange. */
    var withoutExchangeUntil: Instant = Instant.DISTANT_PAST

    /** Whether its tables are being fetched. */
    var isFollowed: Boolean = false
}

/** How the report of an entry came to another one. */
internal enum class ReportOrigin {
    /** The entry sent it in an exchange to this entry as its hub. */
    EXCHANGED,

    /** This entry polled it. */
    POLLED,

    /** A hub passed it on, or sent its own. */
    HUB
}

/** Rows of another entry in a [PeerTable], which it read no earlier than [readAt]. */
internal class ReceivedTable(val version: Long, val rows: List<RowCopy>, val readAt: Instant)
