package org.shallotplank.gateway

import io.netty.channel.EventLoopGroup
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.EntryLocation
import org.shallotplank.gateway.http.HttpClients
import org.shallotplank.gateway.peer.ExchangeAnswers
import org.shallotplank.gateway.peer.ExchangeContext
import org.shallotplank.gateway.peer.ExchangeEntry
import org.shallotplank.gateway.peer.ExchangeRequest
import org.shallotplank.gateway.peer.ExchangeState
import org.shallotplank.gateway.peer.ExchangedReports
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.PeerTables
import org.shallotplank.gateway.peer.Peers
import org.shallotplank.gateway.peer.ReportOrigin
import org.shallotplank.gateway.peer.decodeAnswer
import org.shallotplank.gateway.peer.decodeContent
import org.shallotplank.gateway.peer.encode
import org.shallotplank.gateway.peer.exchangeEntry
import org.shallotplank.gateway.peer.lackingReports
import org.shallotplank.gateway.peer.planExchange

/**
 * Hubs that exchange reports in steps of a simulated clock, without a network.
 *
 * Each entry is named by its zone and a number, such as `a1`. Those in [hubs] act as hubs.
 *
 * @param polledOnly entries without the exchange, which only answer polls.
 * @param hubOfMember entries that use a hub, and which.
 * @param isCut whether calls of the first entry to the second fail.
 */
internal class SimulatedHubs(
    private val group: EventLoopGroup,
    hubs: List<String>,
    private val polledOnly: Set<String> = emptySet(),
    private val hubOfMember: Map<String, String> = emptyMap(),
    private val isCut: (from: String, to: String) -> Boolean = { _, _ -> false }
) {
    private var now = Instant.fromEpochSeconds(100)
    private val clock = object : Clock {
        override fun now(): Instant = now
    }
    private val names = hubs + polledOnly + hubOfMember.keys
    private val hubs = hubs.associateWith { Hub(it, hubs.indexOf(it)) }

    /** Advances the clock by [time], and calls [onStep] after each step. */
    fun run(time: Duration, onStep: () -> Unit = {}) {
        val end = now + time
        while (now < end) {
            now += STEP
            hubOfMember.forEach { (member, hub) -> hubs.getValue(hub).onRequest(member) }
            hubs.values.forEach { it.step() }
            onStep()
        }
    }

    /** Age of the report of [entry] that [hub] has. */
    fun ageOf(entry: String, hub: String): Duration =
        now - (hubs.getValue(hub).peers.view(address(entry))?.lastContactAt ?: now)

    private fun address(name: String) = Address("10.0.0.${names.indexOf(name)}", 1)

    private fun location(name: String) = EntryLocation(InstanceId(name), ZoneName(name.take(1)))

    @OptIn(ExperimentalSerializationApi::class)
    private fun encodedReport(name: String) = Cbor.encodeToByteArray(report(name))

    private fun report(name: String) = PeerReport(
        instance = name,
        incarnation = 1,
        publicAddress = "10.0.0.1:2",
        zone = name.take(1),
        isReady = true,
        isStopping = false,
        tableVersions = emptyMap(),
        inFlight = emptyList(),
        crashes = emptyList()
    )

    /** Calls of the hubs are spread over an interval, so that none precedes all others. */
    private inner class Hub(private val name: String, index: Int) {
        private val scope = CoroutineScope(group.next().asCoroutineDispatcher())
        private val tables = PeerTables(emptyList(), clock)
        val peers = Peers(
            clients = HttpClients(group),
            own = address(name),
            scope = scope,
            clock = clock,
            livenessTimeout = Peers.LIVENESS_TIMEOUT,
            log = {},
            onReport = { _, _ -> }
        ).apply { track(names.map(::address).toSet(), emptySet()) }
        private val answers = ExchangeAnswers(
            context = ExchangeContext(
                clients = HttpClients(group),
                scope = scope,
                clock = clock,
                random = Random(1),
                own = location(name),
                ownAddress = address(name),
                incarnation = 1,
                maxPollingEntries = 1,
                isAfterLastSuspension = { true },
                report = { report(name) },
                log = { error("unexpected line: $it") },
                countCall = {}
            ),
            peers = peers,
            tables = tables,
            onPushed = {}
        )
        private val reports = ExchangedReports(address(name), peers, tables) {}
        private var askAt = now + STEP * index
        private val pollAt = HashMap<Address, Instant>()

        fun step() {
            poll(planExchange(own(), others(), maxPollingEntries = 1).polled)
            if (now < askAt) return
            askAt = now + INTERVAL
            hubs.values.filter { it !== this && !isCut(name, it.name) }.forEach(::ask)
        }

        fun onRequest(member: String) {
            val view = peers.view(address(member)) ?: error("$member is not tracked")
            if (now - view.lastContactAt < INTERVAL) return
            peers.accept(view, encodedReport(member), now, ReportOrigin.EXCHANGED)
            view.coveredUntil = now + ExchangedReports.COVER_TIME
        }

        private fun own() = ExchangeEntry(
            instance = InstanceId(name),
            address = address(name),
            zone = ZoneName(name.take(1)),
            state = ExchangeState.SERVING
        )

        private fun others() = (names - name).map { other ->
            peers.exchangeEntry(address(other), location(other), now)
                .copy(offersExchange = other in hubs)
        }

        private fun poll(polled: Set<Address>) {
            pollAt.keys.retainAll(polled)
            for (entry in polledOnly.filter { address(it) in polled && !isCut(name, it) }) {
                val address = address(entry)
                val view = peers.view(address)?.takeIf { now >= (pollAt[address] ?: now) }
                if (view != null) {
                    pollAt[address] = now + Peers.pollInterval(polled.size)
                    peers.accept(view, encodedReport(entry), now, ReportOrigin.POLLED)
                }
            }
        }

        private fun ask(hub: Hub) {
            val request = ExchangeRequest(
                address = address(name).toString(),
                report = encodedReport(name),
                isHub = true,
                lacking = peers.lackingReports(now)
            )
            val body = hub.answers.answer(request.encode()) ?: error("not answered")
            val answer = decodeAnswer(body) { error("unreadable: $it") } ?: error("not decoded")
            val content = decodeContent(answer.content) { error("unreadable: $it") }
            val sentAt = now - answer.contentAgeMillis.milliseconds
            reports.learn(address(hub.name), content?.reports.orEmpty(), sentAt)
        }
    }

    private companion object {
        val STEP = 50.milliseconds
        val INTERVAL = 400.milliseconds
    }
}
