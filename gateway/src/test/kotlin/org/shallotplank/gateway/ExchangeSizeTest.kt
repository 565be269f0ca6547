package org.shallotplank.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.gateway.peer.ContactBasis
import org.shallotplank.gateway.peer.ExchangeContent
import org.shallotplank.gateway.peer.ExchangeEntry
import org.shallotplank.gateway.peer.ExchangePlan
import org.shallotplank.gateway.peer.ExchangeRequest
import org.shallotplank.gateway.peer.ExchangeState
import org.shallotplank.gateway.peer.ExchangedReport
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.Peers
import org.shallotplank.gateway.peer.SeenLease
import org.shallotplank.gateway.peer.UpstreamInFlight
import org.shallotplank.gateway.peer.encode
import org.shallotplank.gateway.peer.planExchange

/**
 * Calls and bytes of reports, from the encodings that are sent.
 *
 * Three zones, 72 upstreams of seven slots that are all in use, over all entries. A small entry has
 * 19.6 Mbit/s, or 2,450 kB/s; reports should leave most of it to callers.
 */
class ExchangeSizeTest {
    private val random = Random(20261206)

    private class Cost(
        val calls: Double,
        val bytes: Double,
        val bytesBetweenZones: Double,
        val busiestCalls: Double,
        val busiestBytes: Double
    )

    private fun report(index: Int, entries: Int) = PeerReport(
        instance = "edge-khomas-${"abc"[index % 3]}-$index",
        incarnation = 1_783_101_451_476 + index,
        publicAddress = "10.10.${index / 250}.${index % 250}:8080",
        zone = "khomas-${"abc"[index % 3]}",
        isReady = true,
        isStopping = false,
        tableVersions = mapOf(
            "operators" to 41L,
            "servers" to 182_311L + random.nextInt(9),
            "entries" to 182_240L,
            "upstream-rates" to 3L
        ),
        inFlight = (0 until UPSTREAMS)
            .map { it to inFlight(entries) }
            .filter { (_, count) -> count > 0 }
            .map { (upstream, count) ->
                UpstreamInFlight("i-%010x".format(upstream * 7_919_377L), 1_783_101_451_000, count)
            },
        crashes = emptyList(),
        leases = listOf(SeenLease("llm", 182_200)),
        leasesAgeMillis = random.nextLong(500)
    )

    private fun inFlight(entries: Int): Int = (1..SLOTS).count { random.nextInt(entries) == 0 }

    private fun plans(entries: Int): List<ExchangePlan> {
        val all = List(entries) { index ->
            ExchangeEntry(
                instance = InstanceId("e%03d".format(index)),
                address = address(index),
                zone = zone(index),
                state = ExchangeState.SERVING,
                isCovered = true
            )
        }
        return all.map { planExchange(it, all - it, maxPollingEntries = 24) }
    }

    private fun address(index: Int) = Address("10.10.0.$index", 7000)

    private fun zone(index: Int) = ZoneName("abc"[index % 3].toString())

    @OptIn(ExperimentalSerializationApi::class)
    private fun cost(entries: Int): Cost {
        val reports = List(entries) { Cbor.encodeToByteArray(report(it, entries)) }
        val plans = plans(entries)
        val callsOf = DoubleArray(entries)
        val bytesOf = DoubleArray(entries)
        var calls = 0.0
        var bytes = 0.0
        var bytesBetweenZones = 0.0

        fun add(from: Int, to: Int, perSecond: Double, callBytes: Int) {
            calls += perSecond
            bytes += perSecond * callBytes
            if (zone(from) != zone(to)) bytesBetweenZones += perSecond * callBytes
            for (index in listOf(from, to)) {
                callsOf[index] += perSecond
                bytesOf[index] += perSecond * callBytes
            }
        }

        val members = plans.indices.groupBy { plans[it].sources.firstOrNull() }
        val everything = content(reports, reports.indices.toList())
        for ((index, plan) in plans.withIndex()) {
            val request = request(reports[index]).size + 2 * HEAD_BYTES
            val pollsPerSecond = 1_000.0 / Peers.pollInterval(entries - 1).inWholeMilliseconds
            for (polled in plan.polled.map { it.index }) {
                add(index, polled, pollsPerSecond, reports[polled].size + 2 * HEAD_BYTES)
            }
            for (hub in plan.hubs.map { it.index }) {
                val own = members[address(hub)].orEmpty() + hub
                add(index, hub, EXCHANGES_PER_SECOND, request + content(reports, own))
            }
            plan.sources.firstOrNull()?.let { source ->
                add(index, source.index, EXCHANGES_PER_SECOND, request + everything)
            }
        }
        return Cost(calls, bytes, bytesBetweenZones, callsOf.max(), bytesOf.max())
    }

    private val Address.index: Int get() = host.substringAfterLast('.').toInt()

    private fun request(report: ByteArray) =
        ExchangeRequest("10.10.0.1:7000", report, basis = ContactBasis(1_783_101_451_476, 1, 400))
            .encode()

    private fun content(reports: List<ByteArray>, indexes: List<Int>): Int = ExchangeContent(
        indexes.map {
            ExchangedReport(address(it).toString(), random.nextLong(900), reports[it])
        }
    ).encode().size

    @Nested
    inner class AllEntriesTogether {
        @Test
        fun `make calls and send bytes in proportion to their number`() {
            val costs = listOf(4, 13, 20, 70, 300).associateWith(::cost)
            println("| entries | calls/s | kB/s | kB/s between zones | busiest: calls/s | kB/s |")
            for ((entries, cost) in costs) {
                val values = listOf(
                    cost.calls,
                    cost.bytes / KILO,
                    cost.bytesBetweenZones / KILO,
                    cost.busiestCalls,
                    cost.busiestBytes / KILO
                )
                println("| $entries | ${values.joinToString(" | ") { "%.0f".format(it) }} |")
            }
            assertTrue(costs.getValue(70).calls < 300)
            assertTrue(costs.getValue(70).busiestBytes < SMALL_ENTRY_BYTES_PER_SECOND / 4)
        }
    }

    private companion object {
        const val UPSTREAMS = 72
        const val SLOTS = 7
        const val EXCHANGES_PER_SECOND = 1_000.0 / 380
        const val KILO = 1_000

        /** Head of a request or an answer on the wire, with those of the packets. */
        const val HEAD_BYTES = 200
        const val SMALL_ENTRY_BYTES_PER_SECOND = 2_450_000
    }
}
