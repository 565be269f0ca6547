package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.work.LengthMoments
import org.shallotplank.core.work.ReportedWork
import org.shallotplank.core.work.RequestSize
import org.shallotplank.core.work.UpstreamWork
import org.shallotplank.core.work.WorkRouting

class GatewayWorkTest {
    private val engine = EngineProfile(
        eventStride = 5,
        stepTime = 4.55.milliseconds,
        timePerRequest = 1.56.milliseconds,
        timePerThousandTokens = 0.031.milliseconds,
        promptTokensPerSecond = 61_400.0,
        usualPromptTokens = 868,
        usualAnswerTokens = 96,
        memoryTokens = 4_000
    )
    private val first = UpstreamKey(InstanceId("1"), 1)
    private val second = UpstreamKey(InstanceId("2"), 1)

    /** An entry in front of two upstreams; decisions and draws depend on [seed]. */
    private inner class Entry(
        routing: WorkRouting = WorkRouting.ON,
        profile: EngineProfile? = engine,
        seed: Int = 1
    ) {
        private val random = Random(seed)
        var now = startOfTest
        var state = GatewayState(testSettings().copy(workRouting = routing))
            private set
        private var count = 0

        init {
            emit(GatewayEvent.RoutesAccepted(testTable(engine = profile)))
            val listed = listOf(listedUpstream("1", slots = 7), listedUpstream("2", slots = 7))
            emit(GatewayEvent.UpstreamsListed(listed.toPersistentList()))
            emit(GatewayEvent.ReadinessChanged(isReady = true))
        }

        fun emit(event: GatewayEvent): List<GatewayEffect> {
            val step = state.on(event, now, random)
            state = step.state
            return step.effects
        }

        /** Sends a stream of the stated size and returns the call. */
        fun send(
            prompt: Int? = null,
            output: Int? = null,
            kind: RequestKind = RequestKind.STREAM
        ): GatewayCall {
            val id = "r${count++}"
            val arrived = arrival(id, kind, now)
            val size = RequestSize(prompt, maxOutputTokens = output)
            emit(GatewayEvent.Arrived(arrived.request.copy(size = size)))
            return assertNotNull(state.calls[RequestId(id)])
        }

        fun end(call: GatewayCall, events: Int = 0) {
            emit(GatewayEvent.AnswerEnded(call.request.id, 1, status = 200, events = events))
        }

        fun progress(call: GatewayCall, events: Int) {
            val progress = persistentMapOf(call.request.id to AttemptProgress(1, events))
            emit(GatewayEvent.StreamsProgressed(progress))
        }
    }

    private val GatewayCall.upstream get() = (phase as GatewayPhase.Sent).upstream

    @Nested
    inner class Choice {
        /** Guards against two prompts that one rank reads one after the other. */
        @Test
        fun `a long prompt that is being read counts more than a running request`() {
            val entry = Entry()
            val long = entry.send(prompt = 2_400)
            val other = entry.send(prompt = 200)
            assertFalse(long.upstream == other.upstream)
            entry.emit(GatewayEvent.AnswerBegun(other.request.id, attempt = 1))
            val third = entry.send(prompt = 500)
            assertEquals(other.upstream, third.upstream)
        }

        @Test
        fun `a request that needs more than the free memory goes elsewhere`() {
            val entry = Entry()
            val large = entry.send(prompt = 3_000)
            val small = entry.send(prompt = 100)
            entry.end(small, events = 19)
            val next = entry.send(prompt = 2_000)
            assertFalse(large.upstream == next.upstream)
        }
    }

    @Nested
    inner class WorkLeft {
        private fun Entry.loadAt(key: UpstreamKey, call: GatewayCall, age: Duration) =
            state.loadAt(state.upstreams.getValue(key), call, startOfTest + age)

        @Test
        fun `declines as events arrive, but never to nothing`() {
            val entry = Entry()
            val call = entry.send()
            fun left() = entry.loadAt(call.upstream, call, Duration.ZERO).timeLeft
            val whole = left()
            entry.progress(call, events = 10)
            val half = left()
            entry.progress(call, events = 60)
            assertTrue(half < whole * 0.6, "$half of $whole")
            assertEquals(0.25, left() / whole, absoluteTolerance = 0.01)
        }

        @Test
        fun `at a plain service declines with time`() {
            val entry = Entry(profile = null)
            repeat(20) {
                val call = entry.send(kind = RequestKind.SAFE)
                entry.now += 100.milliseconds
                entry.end(call)
            }
            val sentAt = entry.now
            val call = entry.send(kind = RequestKind.SAFE)
            val later = sentAt - startOfTest + 60.milliseconds
            assertEquals(40.milliseconds, entry.loadAt(call.upstream, call, later).timeLeft)
        }

        /** Guards against decisions by work that ended since another entry reported it. */
        @Test
        fun `of other entries counts as usual where no recent report covers it`() {
            val entry = Entry()
            val busy = persistentMapOf(first to 3, second to 3)
            entry.emit(GatewayEvent.PeersReported(entryCount = 2, inFlight = busy))
            val work = persistentMapOf(first to UpstreamWork(3, timeLeft = 30.milliseconds))
            val report = ReportedWork(entry.now, upstreams = work)
            entry.emit(GatewayEvent.WorkLearned(InstanceId("other"), report))
            val call = entry.send()
            val other = listOf(first, second).first { it != call.upstream }
            val recent = entry.loadAt(first, call, Duration.ZERO).overlapping
            val old = entry.loadAt(first, call, 3.seconds).overlapping
            assertEquals(2.8, old - recent, absoluteTolerance = 0.1)
            val uncovered = entry.loadAt(second, call, Duration.ZERO).overlapping
            val ownThere = if (other == second) 0.0 else 1.0
            assertEquals(3.0 + ownThere, uncovered, absoluteTolerance = 0.01)
        }
    }

    @Nested
    inner class Off {
        /** Guards against a change of the choice where lengths are alike or unknown. */
        @Test
        fun `choices are those of counting while the work is not in effect or unknown`() {
            val sizes = Random(SEED)
            val draws = List(200) { sizes.nextInt(1, 3_000) to sizes.nextInt(1, 240) }
            fun choices(entry: Entry, withSizes: Boolean): List<UpstreamKey> =
                draws.mapIndexedNotNull { index, (prompt, output) ->
                    entry.now += 20.milliseconds
                    val call = if (withSizes) entry.send(prompt, output) else entry.send()
                    val old = entry.state.calls.values.minBy { it.request.arrivedAt }
                    if (index >= 8) entry.end(old, events = 1 + index % 40)
                    call.upstream
                }
            for (seed in 1..5) {
                val plain = choices(Entry(WorkRouting.OFF, profile = null, seed), withSizes = false)
                val off = choices(Entry(WorkRouting.OFF, seed = seed), withSizes = true)
                val auto = choices(Entry(WorkRouting.AUTO, seed = seed), withSizes = true)
                val unknown = choices(Entry(WorkRouting.ON, null, seed), withSizes = false)
                assertEquals(plain, off, "off, seed $seed")
                assertEquals(plain, auto, "auto, seed $seed")
                assertEquals(plain.take(8), unknown.take(8), "unknown, seed $seed")
            }
        }

        @Test
        fun `requests with equal costs are counted`() {
            for (seed in 1..5) {
                fun choices(routing: WorkRouting): List<UpstreamKey> {
                    val alike = engine.copy(promptTokensPerSecond = null, memoryTokens = null)
                    val entry = Entry(routing, alike, seed)
                    return List(12) { entry.send().upstream }
                }
                assertEquals(choices(WorkRouting.OFF), choices(WorkRouting.ON), "seed $seed")
            }
        }
    }

    @Nested
    inner class Dispersion {
        private fun report(dispersion: Double): ReportedWork {
            val squares = 500 * 90.0 * 90.0 * (1 + dispersion * dispersion)
            val moments = LengthMoments(500.0, 500 * 90.0, squares, observed = 500)
            return ReportedWork(startOfTest, lengths = persistentMapOf(testService to moments))
        }

        @Test
        fun `of lengths that entries report puts work-based routing in effect`() {
            val entry = Entry(WorkRouting.AUTO)
            entry.emit(GatewayEvent.WorkLearned(InstanceId("other"), report(dispersion = 0.7)))
            assertFalse(entry.state.usesWork(testService))
            entry.emit(GatewayEvent.WorkLearned(InstanceId("other"), report(dispersion = 0.9)))
            assertTrue(entry.state.usesWork(testService))
            assertTrue(entry.state.needsProgress)
        }

        @Test
        fun `is not looked at with a setting, or for plain services`() {
            val plain = Entry(WorkRouting.AUTO, profile = null)
            plain.emit(GatewayEvent.WorkLearned(InstanceId("other"), report(dispersion = 0.9)))
            assertFalse(plain.state.usesWork(testService))
            val off = Entry(WorkRouting.OFF)
            off.emit(GatewayEvent.WorkLearned(InstanceId("other"), report(dispersion = 0.9)))
            assertFalse(off.state.usesWork(testService))
        }
    }

    @Nested
    inner class Learning {
        @Test
        fun `complete answers set the expected tokens and the error of estimates`() {
            val entry = Entry()
            repeat(40) { entry.end(entry.send(), events = 40) }
            assertEquals(200.0, assertNotNull(entry.send().cost).outputTokens, 1.0)
            assertTrue(entry.state.work.errors.typicalFactor > 1.0)
            assertEquals(40, entry.state.work.lengthsOf(testService).observed)
        }

        @Test
        fun `plain services get a learned processing time`() {
            val entry = Entry(profile = null)
            repeat(20) {
                val call = entry.send(kind = RequestKind.SAFE)
                entry.now += 60.milliseconds
                entry.end(call)
            }
            assertEquals(60.milliseconds, entry.send(kind = RequestKind.SAFE).cost?.total)
        }
    }

    private companion object {
        const val SEED = 7
    }
}
