package org.shallotplank.gateway.peer

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import org.shallotplank.core.Address
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.http.HttpClients

/**
 * The other entries and their reports, which it polls or gets by exchange (see [EntryExchange]).
 *
 * An entry counts as alive if its last report was made less than [livenessTimeout] ago.
 */
internal class Peers(
    private val clients: HttpClients,
    private val own: Address,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val livenessTimeout: Duration,
    private val log: (LogRecord) -> Unit,
    private val countCall: (path: String) -> Unit = {},
    private val onReport: suspend (PeerView, HttpClient) -> Unit
) {
    private val startedAt = clock.now()
    private val views = LinkedHashMap<Address, PeerView>()
    private val jobs = HashMap<Address, Job>()

    /** All tracked entries except this one. */
    val all: Collection<PeerView> get() = views.values

    /** Entries that count as alive now. */
    val alive: List<PeerView> get() = views.values.filter(::isAlive)

    /** The entry at [address], null if it is not tracked. */
    fun view(address: Address): PeerView? = views[address]

    /** Whether the last report in [view] is recent enough. */
    fun isAlive(view: PeerView): Boolean = clock.now() - view.lastContactAt < livenessTimeout

    /** Polls exactly the entries at [addresses], except this one, from now on. */
    fun pollOnly(addresses: Set<Address>): Unit = track(addresses, addresses)

    /** Tracks exactly the entries at [addresses], except this one, and polls those in [polled]. */
    fun track(addresses: Set<Address>, polled: Set<Address>) {
        val tracked = addresses - own
        views.keys.retainAll(tracked)
        for (address in tracked - views.keys) views[address] = PeerView(address)
        val wanted = polled intersect tracked
        (jobs.keys - wanted).forEach { removed -> jobs.remove(removed)?.cancel() }
        for (address in wanted - jobs.keys) {
            jobs[address] = scope.launch { poll(views.getValue(address)) }
        }
    }

    /**
     * Takes over the report in [view] that is encoded in [body], if it is newer than the known one.
     *
     * @param contactAt a time before or at which the entry made the report.
     * @return whether it was taken over.
     */
    fun accept(view: PeerView, body: ByteArray, contactAt: Instant, origin: ReportOrigin): Boolean {
        if (origin != ReportOrigin.HUB) view.directAt = maxOf(view.directAt, contactAt)
        if (contactAt < view.lastContactAt) return false
        val report = decode(body) ?: return false
        if (report.incarnation != view.report?.incarnation) view.tables.clear()
        view.report = report
        view.encodedReport = body
        view.lastContactAt = contactAt
        view.origin = origin
        return true
    }

    /** Logs which entries that are not polled came or went. */
    fun updateLiveness(): Unit = views.values.filter {
        it.address !in jobs
    }.forEach(::updateLiveness)

    private suspend fun poll(view: PeerView) {
        val client = clients.to(view.address)
        try {
            while (true) {
                val requestedAt = clock.now()
                countCall(REPORT_PATH)
                val reply = client.call(HttpCall("GET", REPORT_PATH), TIMEOUT).getOrNull()
                if (reply?.status == OK &&
                    accept(view, reply.body, requestedAt, ReportOrigin.POLLED)
                ) {
                    onReport(view, client)
                }
                updateLiveness(view)
                delay(if (view.isAlive) pollInterval(jobs.size) else unreachableInterval())
            }
        } finally {
            client.close()
        }
    }

    /**
     * Returns the poll interval for an entry that does not answer.
     *
     * During start-up, the usual interval applies, because entries that start together cannot reach
     * each other at first.
     */
    private fun unreachableInterval(): Duration = if (clock.now() - startedAt <
        STARTUP_TIME
    ) {
        pollInterval(jobs.size)
    } else {
        UNREACHABLE_INTERVAL
    }

    private fun updateLiveness(view: PeerView) {
        val isAlive = isAlive(view)
        if (isAlive == view.isAlive) return
        view.isAlive = isAlive
        log(
            logRecord(
                LogEvent.GATEWAY_PEER_CHANGED,
                "peer" to (view.report?.instance ?: view.address),
                "address" to view.address,
                "alive" to isAlive
            )
        )
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun decode(body: ByteArray): PeerReport? = try {
        Cbor.decodeFromByteArray<PeerReport>(body)
    } catch (e: SerializationException) {
        log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to "peer report", "detail" to e.message))
        null
    }

    internal companion object {
        const val REPORT_PATH = "/peer/report"
        const val TABLE_PATH = "/peer/table"

        /** Covers one failed poll and the next one; an ended entry must not be listed longer. */
        val LIVENESS_TIMEOUT = 2.seconds
        private const val OK = 200

        /** Short relative to the time after which an ended entry must no longer be listed. */
        internal val TIMEOUT = 800.milliseconds
        private val UNREACHABLE_INTERVAL = 1.seconds

        /** Machines that lose power together are up again within 1 or 2 s of each other. */
        private val STARTUP_TIME = 3.seconds
        private val MIN_INTERVAL = 250.milliseconds
        private val INTERVAL_PER_PEER = 40.milliseconds

        /** A poll that fails after [TIMEOUT] and the next one fit into [LIVENESS_TIMEOUT]. */
        private val MAX_INTERVAL = 920.milliseconds

        /** Rises with the number of peers, which bounds the total cost of the reports. */
        internal fun pollInterval(peers: Int): Duration =
            (INTERVAL_PER_PEER * peers).coerceIn(MIN_INTERVAL, MAX_INTERVAL)
    }
}

/**
 * Fetches a copy of [table] from the entry that [client] calls; null if that fails.
 *
 * @param era only a copy of this era is wanted. Builds before this parameter ignore it.
 */
@OptIn(ExperimentalSerializationApi::class)
internal suspend fun fetchTable(
    client: HttpClient,
    table: String,
    era: Long?,
    timeout: Duration
): TableCopy? {
    val suffix = era?.let { "&era=$it" }.orEmpty()
    val call = HttpCall("GET", "${Peers.TABLE_PATH}?name=$table$suffix")
    val reply = client.call(call, timeout).getOrNull()?.takeIf { it.status == 200 } ?: return null
    return try {
        Cbor.decodeFromByteArray<TableCopy>(reply.body)
    } catch (e: SerializationException) {
        null
    }
}
