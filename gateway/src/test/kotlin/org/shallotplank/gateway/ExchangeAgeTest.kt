package org.shallotplank.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.EntryLocation
import org.shallotplank.gateway.http.HttpClients
import org.shallotplank.gateway.peer.ContactBasis
import org.shallotplank.gateway.peer.EntryTable
import org.shallotplank.gateway.peer.ExchangeAnswer
import org.shallotplank.gateway.peer.ExchangeAnswers
import org.shallotplank.gateway.peer.ExchangeContext
import org.shallotplank.gateway.peer.ExchangeRequest
import org.shallotplank.gateway.peer.ExchangedReport
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.PeerRows
import org.shallotplank.gateway.peer.PeerTable
import org.shallotplank.gateway.peer.PeerTables
import org.shallotplank.gateway.peer.Peers
import org.shallotplank.gateway.peer.RowCopy
import org.shallotplank.gateway.peer.decodeAnswer
import org.shallotplank.gateway.peer.decodeContent
import org.shallotplank.gateway.peer.encode

/**
 * Guards against reports that seem more recent than they are.
 *
 * An entry that ended would be listed for too long, and a lease would seem to be confirmed.
 */
class ExchangeAgeTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(group.next().asCoroutineDispatcher())
    private val member = Address("10.0.0.2", 1)
    private var now = Instant.fromEpochSeconds(100)
    private val clock = object : Clock {
        override fun now(): Instant = now
    }
    private var suspendedAt = Instant.DISTANT_PAST
    private val learned = mutableListOf<PeerRows>()
    private val peers = Peers(
        clients = HttpClients(group),
        own = HUB,
        scope = scope,
        clock = clock,
        livenessTimeout = 2.seconds,
        log = {},
        onReport = { _, _ -> }
    ).apply { track(setOf(member), emptySet()) }
    private val waiting = PeerTable(
        name = "waiting",
        version = { null },
        rows = { emptyList() },
        learn = {},
        learnFrom = learned::add
    )
    private val answers = ExchangeAnswers(
        context = ExchangeContext(
            clients = HttpClients(group),
            scope = scope,
            clock = clock,
            random = Random(1),
            own = EntryLocation(InstanceId("hub"), ZoneName("a")),
            ownAddress = HUB,
            incarnation = INCARNATION,
            maxPollingEntries = 1,
            isAfterLastSuspension = { it > suspendedAt },
            report = { report("hub") },
            log = { error("unexpected line: $it") },
            countCall = {}
        ),
        peers = peers,
        tables = PeerTables(listOf(waiting), clock),
        onPushed = {}
    )

    @AfterTest
    fun close() {
        scope.cancel()
        group.shutdownGracefully()
    }

    private fun report(instance: String) = PeerReport(
        instance = instance,
        incarnation = 1,
        publicAddress = "10.0.0.2:2",
        zone = "a",
        isReady = true,
        isStopping = false,
        tableVersions = emptyMap(),
        inFlight = emptyList(),
        crashes = emptyList()
    )

    @OptIn(ExperimentalSerializationApi::class)
    private fun exchange(basis: ContactBasis?, isHub: Boolean = false): ExchangeAnswer {
        val request = ExchangeRequest(
            address = member.toString(),
            report = Cbor.encodeToByteArray(report("member")),
            tables = listOf(EntryTable("waiting", 1, ageMillis = 0, listOf(RowCopy("s", "{}", 0)))),
            isHub = isHub,
            basis = basis
        )
        val answer = answers.answer(request.encode()) ?: error("not answered")
        return decodeAnswer(answer) { error("unreadable: $it") } ?: error("not decoded")
    }

    private fun basis(answer: ExchangeAnswer, elapsedMillis: Long) =
        ContactBasis(answer.incarnation, answer.sentAtMillis, elapsedMillis)

    private fun reports(answer: ExchangeAnswer): Map<String, ExchangedReport> =
        decodeContent(answer.content) { error("unreadable: $it") }
            ?.reports.orEmpty().associateBy { it.address }

    @Nested
    inner class AReportInARequest {
        @Test
        fun `is not used before it is known when it was made`() {
            val first = exchange(basis = null)
            assertFalse(first.isReportUsed)
            assertEquals(setOf(HUB.toString()), reports(first).keys)
            assertFalse(exchange(ContactBasis(INCARNATION - 1, 0, 0)).isReportUsed)
        }

        @Test
        fun `counts from when it was made, however long it was on its way`() {
            val first = exchange(basis = null)
            now += 1.7.seconds
            val second = exchange(basis(first, elapsedMillis = 400))
            assertTrue(second.isReportUsed)
            assertEquals(1_301, reports(second).getValue(member.toString()).ageMillis)
            assertEquals(now - 1.3.seconds, learned.single().readAt)
            now += 0.7.seconds
            assertEquals(emptyList(), peers.alive)
            assertEquals(setOf(HUB.toString()), reports(exchange(basis = null)).keys)
        }

        @Test
        fun `is passed on with an age that includes the time until the answer`() {
            val first = exchange(basis = null)
            now += 400.milliseconds
            val second = exchange(basis(first, elapsedMillis = 400))
            now += 90.milliseconds
            val third = exchange(basis = null)
            assertEquals(0, second.contentAgeMillis)
            assertEquals(90, third.contentAgeMillis)
            assertTrue(second.content.contentEquals(third.content))
        }

        @Test
        fun `is neither used nor passed on across a suspension, in which the clock may stop`() {
            val first = exchange(basis = null)
            now += 400.milliseconds
            exchange(basis(first, elapsedMillis = 400))
            suspendedAt = now
            now += 10.milliseconds
            val afterwards = exchange(basis(first, elapsedMillis = 410))
            assertFalse(afterwards.isReportUsed)
            assertEquals(setOf(HUB.toString()), reports(afterwards).keys)
        }
    }

    @Nested
    inner class ReportsForOtherHubs {
        @Test
        fun `leave out those that came from hubs, so that they do not circulate`() {
            val first = exchange(basis = null, isHub = true)
            now += 400.milliseconds
            val second = exchange(basis(first, elapsedMillis = 400), isHub = true)
            assertEquals(setOf(HUB.toString()), reports(second).keys)
            val toMembers = exchange(basis(second, elapsedMillis = 0))
            assertEquals(setOf(HUB.toString(), member.toString()), reports(toMembers).keys)
        }
    }

    private companion object {
        val HUB = Address("10.0.0.1", 1)
        const val INCARNATION = 7L
    }
}
