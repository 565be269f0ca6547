package org.shallotplank.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.Address
import org.shallotplank.core.gateway.EntryLocation

/** Takes over the reports that hubs pass on, and decides which entries need not be polled. */
internal class ExchangedReports(
    private val ownAddress: Address,
    private val peers: Peers,
    private val tables: PeerTables,
    private val onReport: (PeerView) -> Unit
) {
    /** Takes over [reports], which [hub] sent at [sentAt]. */
    fun learn(hub: Address, reports: List<ExchangedReport>, sentAt: Instant) {
        for (exchanged in reports) {
            val view = Address.parseOrNull(exchanged.address)?.let(peers::view) ?: continue
            val contactAt = sentAt - exchanged.ageMillis.milliseconds
            if (!exchanged.isRelayed) view.directAt = maxOf(view.directAt, contactAt)
            // Also if a poll gave a newer one, or an entry once polled would be polled for ever.
            view.coveredUntil = maxOf(view.coveredUntil, contactAt + coverTime(hub, exchanged))
            if (!peers.accept(view, exchanged.report, contactAt, ReportOrigin.HUB)) continue
            tables.learn(view, exchanged.tables, sentAt)
            onReport(view)
        }
    }

    /**
     * How long this entry relies on [hub] for reports such as [exchanged].
     *
     * Of two hubs that poll an entry, the one with the lower address goes on. If each relied on the
     * other, both would stop until the report has expired, and again after the next poll.
     */
    private fun coverTime(hub: Address, exchanged: ExchangedReport): Duration = when {
        exchanged.isRelayed -> Duration.ZERO
        !exchanged.isPolled -> COVER_TIME
        hub.toString() < ownAddress.toString() -> POLLED_COVER_TIME
        else -> Duration.ZERO
    }

    internal companion object {
        /** Longer than reports take through two hubs, and shorter than they count as alive. */
        val COVER_TIME = 1.7.seconds

        /**
         * A poll at the shortest interval and two exchanges. Longer, and members in other zones
         * would lose the entry before this hub polls in place of one that ceased to.
         */
        private val POLLED_COVER_TIME = 1.seconds
    }
}

/** Peer addresses of the entries whose reports reached this entry only relayed, or not at all. */
internal fun Peers.lackingReports(now: Instant): List<String> =
    all.filter { now - it.directAt >= DIRECT_TIME }.map { it.address.toString() }

/** What the plan needs of the entry at [address], which is registered in [location]. */
internal fun Peers.exchangeEntry(
    address: Address,
    location: EntryLocation,
    now: Instant
): ExchangeEntry {
    val view = view(address)
    val report = view?.report
    return ExchangeEntry(
        instance = location.instance,
        address = address,
        zone = location.zone,
        state = when {
            report == null -> ExchangeState.UNKNOWN
            !isAlive(view) -> ExchangeState.AWAY
            else -> report.exchangeState
        },
        offersExchange = view == null || view.withoutExchangeUntil <= now,
        isAvoided = view != null && view.avoidedUntil > now,
        isCovered = view != null && now < view.coveredUntil
    )
}

/** The state of the entry that made this report, if that is recent. */
internal val PeerReport.exchangeState: ExchangeState
    get() = when {
        isStopping -> ExchangeState.AWAY
        isReady -> ExchangeState.SERVING
        else -> ExchangeState.STARTING
    }

/**
 * Two exchanges and two cached answers take 1 s; with those that follow, a report that another hub
 * passes on arrives before the last direct one expires.
 */
private val DIRECT_TIME = 1.2.seconds
