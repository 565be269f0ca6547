package org.shallotplank.gateway.peer

import io.netty.channel.EventLoopGroup
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
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableContents

/** What is known of another entry. */
internal class PeerView(val address: Address) {
    var report: PeerReport? = null
    var heardAt: Instant = Instant.DISTANT_PAST
    var isAlive: Boolean = false
}

/**
 * Asks the other entries for their reports, over and over.
 *
 * An entry counts as alive while it answered within [aliveFor].
 */
internal class Peers(
    private val group: EventLoopGroup,
    private val own: Address,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val aliveFor: Duration,
    private val log: (LogRecord) -> Unit,
    private val onReport: suspend (PeerView, HttpClient) -> Unit
) {
    private val startedAt = clock.now()
    private val views = LinkedHashMap<Address, PeerView>()
    private val jobs = HashMap<Address, Job>()

    /** Entries that answered of late. */
    val alive: List<PeerView>
        get() = views.values.filter { clock.now() - it.heardAt < aliveFor }

    /** Asks exactly the entries at [addresses] from now on. */
    fun follow(addresses: Set<Address>) {
        val wanted = addresses - own
        (jobs.keys - wanted).forEach { gone ->
            jobs.remove(gone)?.cancel()
            views.remove(gone)
        }
        for (address in wanted - jobs.keys) {
            val view = PeerView(address)
            views[address] = view
            jobs[address] = scope.launch { ask(view) }
        }
    }

    private suspend fun ask(view: PeerView) {
        val client = HttpClient(group, view.address)
        try {
            while (true) {
                val startedAt = clock.now()
                val reply = client.call(HttpCall("GET", REPORT_PATH), TIMEOUT).getOrNull()
                val report = reply?.takeIf { it.status == OK }?.let { decode(it.body) }
                if (report != null) {
                    view.report = report
                    view.heardAt = startedAt
                    onReport(view, client)
                }
                noteLiveness(view)
                delay(if (view.isAlive) intervalOf(views.size) else awayInterval())
            }
        } finally {
            client.close()
        }
    }

    /** Entries that start together are away for each other at first. */
    private fun awayInterval(): Duration =
        if (clock.now() - startedAt < START_TIME) intervalOf(views.size) else AWAY_INTERVAL

    private fun noteLiveness(view: PeerView) {
        val isAlive = clock.now() - view.heardAt < aliveFor
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
        private const val OK = 200

        /** Short against the time after which an entry that ended must not be named. */
        private val TIMEOUT = 800.milliseconds
        private val AWAY_INTERVAL = 1.seconds

        /** Machines that lose power together are back within a second or two of each other. */
        private val START_TIME = 3.seconds
        private val MIN_INTERVAL = 250.milliseconds
        private val INTERVAL_PER_PEER = 40.milliseconds

        /** Bounds what the reports cost when there are many entries. */
        private fun intervalOf(peers: Int): Duration =
            (INTERVAL_PER_PEER * peers).coerceAtLeast(MIN_INTERVAL)
    }
}

/** Fetches a copy of [table] from the entry behind [client], or null. */
@OptIn(ExperimentalSerializationApi::class)
internal suspend fun fetchTable(
    client: HttpClient,
    table: String,
    timeout: Duration
): TableContents? {
    val call = HttpCall("GET", "${Peers.TABLE_PATH}?name=$table")
    val reply = client.call(call, timeout).getOrNull()?.takeIf { it.status == 200 } ?: return null
    val copy = try {
        Cbor.decodeFromByteArray<TableCopy>(reply.body)
    } catch (e: SerializationException) {
        return null
    }
    return TableContents(copy.rows.map { StoreRow(it.key, it.value, it.version) }, copy.version)
}
