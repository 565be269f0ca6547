package org.shallotplank.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.shallotplank.core.Address
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord

/**
 * Answers exchanges. Every entry does, whether or not it counts itself as a hub.
 *
 * @param onPushed called with the entry whose report came in a request.
 */
internal class ExchangeAnswers(
    private val context: ExchangeContext,
    private val peers: Peers,
    private val tables: PeerTables,
    private val onPushed: (PeerView) -> Unit
) {
    private val clock = context.clock
    private val contents = HashMap<Receiver, CachedContent>()
    private val hubCalls = HashMap<Address, Instant>()
    private var memberCallAt = Instant.DISTANT_PAST

    /** Whether members have recently used this entry as their hub. */
    val isAsked: Boolean get() = clock.now() - memberCallAt < CALL_MEMORY

    /** Hubs that have recently asked this entry. */
    val callingHubs: Set<Address>
        get() = clock.now().let { now -> hubCalls.filterValues { now - it < CALL_MEMORY }.keys }

    /** Answers the request that [body] encodes; null if it cannot be read. */
    fun answer(body: ByteArray): ByteArray? {
        val request = decodeRequest(body) { detail ->
            context.log(
                logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to "exchange", "detail" to detail)
            )
        } ?: return null
        val address = Address.parseOrNull(request.address) ?: return null
        val now = clock.now()
        if (request.isHub) hubCalls[address] = now else memberCallAt = now
        val contactAt = request.basis?.let { contactAt(it, now) }
        val view = peers.view(address)
        if (view != null && contactAt != null) learn(view, request, contactAt)
        val content = contentFor(Receiver(request.isHub, relayedTo(request)))
        return ExchangeAnswer(
            incarnation = context.incarnation,
            sentAtMillis = clock.now().toEpochMilliseconds(),
            // A sender whose row has not arrived yet is not asked to repeat its report.
            isReportUsed = contactAt != null || view == null,
            contentAgeMillis = (clock.now() - content.madeAt).inWholeMilliseconds,
            content = content.bytes
        ).encode()
    }

    /** When a report with [basis] was made at the latest; null if that is unknown. */
    private fun contactAt(basis: ContactBasis, now: Instant): Instant? {
        if (basis.incarnation != context.incarnation || basis.elapsedMillis < 0) return null
        val sentAt = Instant.fromEpochMilliseconds(basis.sentAtMillis)
        // The clock may have stood still while this entry was suspended.
        if (!context.isAfterLastSuspension(sentAt)) return null
        return (sentAt + basis.elapsedMillis.milliseconds).coerceAtMost(now)
    }

    private fun learn(view: PeerView, request: ExchangeRequest, contactAt: Instant) {
        val isNew = peers.accept(
            view = view,
            body = request.report,
            contactAt = contactAt,
            origin = if (request.isHub) ReportOrigin.HUB else ReportOrigin.EXCHANGED
        )
        view.directAt = maxOf(view.directAt, contactAt)
        view.coveredUntil = maxOf(view.coveredUntil, contactAt + ExchangedReports.COVER_TIME)
        if (!isNew) return
        tables.learn(view, request.tables, contactAt)
        onPushed(view)
    }

    /** Entries that a hub lacks and that this one can relay; bounds the answers that are cached. */
    private fun relayedTo(request: ExchangeRequest): Set<String> {
        if (!request.isHub || request.lacking.isEmpty()) return emptySet()
        val lacking = request.lacking.toSet()
        return peers.alive.filter { it.origin == ReportOrigin.HUB }
            .map { it.address.toString() }
            .filterTo(mutableSetOf()) { it in lacking }
    }

    private fun contentFor(receiver: Receiver): CachedContent {
        val now = clock.now()
        contents.values.removeAll {
            now - it.madeAt >= CONTENT_TIME || !context.isAfterLastSuspension(it.madeAt)
        }
        return contents.getOrPut(receiver) { CachedContent(now, content(receiver, now).encode()) }
    }

    /**
     * All reports; for hubs, which ask all other hubs, those of this entry and its members.
     *
     * A hub also gets those that it lacks, such as during a cut between it and their hub. Their
     * ages grow with each hub on the way, so that they expire although they may circulate.
     */
    @OptIn(ExperimentalSerializationApi::class)
    private fun content(receiver: Receiver, now: Instant): ExchangeContent {
        val own = ExchangedReport(
            address = context.ownAddress.toString(),
            ageMillis = 0,
            report = Cbor.encodeToByteArray(context.report()),
            tables = tables.ownTables()
        )
        val others = peers.alive
            .filter { it.origin != ReportOrigin.HUB || receiver.needs(it) }
            .filter { context.isAfterLastSuspension(it.lastContactAt) }
            .map { view -> exchanged(view, now) }
        val supplied = if (receiver.isHub) emptyList() else context.suppliedTables(now)
        return ExchangeContent(others + own, supplied)
    }

    private fun exchanged(view: PeerView, now: Instant) = ExchangedReport(
        address = view.address.toString(),
        ageMillis = ageMillis(view.lastContactAt, now),
        report = view.encodedReport,
        tables = view.tables.map { (name, table) ->
            EntryTable(name, table.version, ageMillis(table.readAt, now), table.rows)
        },
        isPolled = view.origin == ReportOrigin.POLLED,
        isRelayed = view.origin == ReportOrigin.HUB
    )

    /** Rounded up, so that no report seems more recent than it is. */
    private fun ageMillis(at: Instant, now: Instant): Long = (now - at).inWholeMilliseconds + 1

    /** Whom an answer is for; those for which it is equal get the same one. */
    private data class Receiver(val isHub: Boolean, val lacking: Set<String>) {
        fun needs(view: PeerView) = !isHub || view.address.toString() in lacking
    }

    private class CachedContent(val madeAt: Instant, val bytes: ByteArray)

    private companion object {
        /** Bounds the cost of encoding, whatever the number of members. */
        val CONTENT_TIME: Duration = 100.milliseconds

        /** Several intervals of exchanges. */
        val CALL_MEMORY = 1.5.seconds
    }
}
