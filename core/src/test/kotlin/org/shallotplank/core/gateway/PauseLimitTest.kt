package org.shallotplank.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested

class PauseLimitTest {
    private val engine = EngineProfile(
        eventStride = 5,
        stepTime = 4.55.milliseconds,
        timePerRequest = 1.56.milliseconds,
        promptTokensPerSecond = 61_400.0,
        chunkTokens = 512,
        usualPromptTokens = 868
    )

    /** An entry before 10 engines with 7 slots each, whose streams may pause for 150 ms. */
    private inner class Entry {
        private val random = Random(1)
        private var now = startOfTest
        private var count = 0
        var state = GatewayState(testSettings())
            private set
        val limit: Int get() = PauseLimit().maxRunning(state, testService, slots = SLOTS)
        val observedLimit: Int get() = state.maxRunningWithinPause(testService, slots = SLOTS)

        init {
            val route = testRoute(RequestKind.STREAM).copy(longestPause = 150.milliseconds)
            emit(GatewayEvent.RoutesAccepted(testTable(engine = engine, routes = listOf(route))))
            val listed = List(10) { listedUpstream("$it", slots = 7) }
            emit(GatewayEvent.UpstreamsListed(listed.toPersistentList()))
            emit(GatewayEvent.ReadinessChanged(isReady = true))
        }

        fun emit(event: GatewayEvent) {
            state = state.on(event, now, random).state
        }

        fun start(requests: Int) = repeat(requests) {
            emit(arrival("${count++}", RequestKind.STREAM, now, timeLeft = 60.seconds))
        }

        fun observe(pause: Duration, during: Duration = 200.milliseconds) {
            val end = now + during
            while (now < end) {
                now += 200.milliseconds
                emit(GatewayEvent.PausesObserved(persistentMapOf(testService to pause)))
            }
        }
    }

    @Nested
    inner class Prediction {
        /** Guards against refusals at a limit at its floor while engines could take more. */
        @Test
        fun `does not attribute constant time to running requests if it is separated`() {
            val entry = Entry()
            entry.start(20)
            entry.observe(85.milliseconds)
            assertTrue(entry.observedLimit <= 40, "${entry.observedLimit} requests")
            val separating = PauseLimit(separatesConstant = true)
            val limit = separating.maxRunning(entry.state, testService, slots = SLOTS)
            assertTrue(limit >= 50, "$limit requests")
        }

        /** Guards against streams that are late at each change of a demand that changes often. */
        @Test
        fun `keeps allowing for a change of demand that occurred within its window`() {
            val entry = Entry()
            entry.start(50)
            entry.observe(170.milliseconds)
            val after = entry.limit
            val observedAfter = entry.observedLimit
            entry.observe(80.milliseconds, during = 6.seconds)
            assertTrue(entry.limit <= after, "${entry.limit} instead of $after requests")
            assertTrue(entry.observedLimit > observedAfter)
        }

        /** Guards against a limit that stays low when the demand is as usual again. */
        @Test
        fun `recovers when the window has passed`() {
            val entry = Entry()
            entry.start(50)
            entry.observe(170.milliseconds)
            entry.observe(80.milliseconds, during = 12.seconds)
            assertEquals(SLOTS, entry.limit)
        }

        /** Guards against a limit from before iterations stalled for another reason than load. */
        @Test
        fun `is suspended while iterations stall`() {
            val entry = Entry()
            entry.start(50)
            entry.observe(170.milliseconds)
            assertTrue(entry.limit < 50)
            entry.observe(700.milliseconds, during = 2.seconds)
            assertEquals(SLOTS, entry.limit)
        }

        @Test
        fun `falls with the first report of a long pause`() {
            val entry = Entry()
            entry.start(60)
            entry.observe(100.milliseconds, during = 2.seconds)
            assertTrue(entry.limit >= 60, "${entry.limit} requests")
            entry.observe(190.milliseconds)
            assertTrue(entry.limit < 50, "${entry.limit} requests")
        }
    }

    private companion object {
        const val SLOTS = 70
    }
}
