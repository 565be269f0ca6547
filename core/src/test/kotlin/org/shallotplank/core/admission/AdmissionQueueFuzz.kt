package org.shallotplank.core.admission

import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.ActionChain
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.config.Priority
import org.shallotplank.core.fuzzAction

class AdmissionQueueFuzz {
    @Property(tries = 1000, seed = "42")
    fun `is work-conserving, starves none and admits none past its deadline`(
        @ForAll("chains") chain: ActionChain<AdmissionOracle>
    ) {
        chain.run()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<AdmissionOracle>> =
        ActionChain.startWith { AdmissionOracle() }
            .withAction(8, fuzzAction("offer", most = 59) { oracle, n -> oracle.offer(n) })
            .withAction(6, fuzzAction("release", most = 59) { oracle, n -> oracle.release(n) })
            .withAction(
                2,
                fuzzAction("wait", most = 59) { oracle, n ->
                    oracle.wait((n * 20).milliseconds)
                }
            )
            .withAction(1, fuzzAction("resize", most = 59) { oracle, n -> oracle.resize(n % 5) })
            .withAction(1, fuzzAction("pressure", most = 59) { oracle, n -> oracle.pressure(n) })
            .withMaxTransformations(100)
}

/** Reference model: checks each decision against lists of running and waiting requests. */
class AdmissionOracle {
    private var now = Instant.fromEpochSeconds(0)
    private val random = Random(1)
    private var queue = AdmissionQueue(capacity = 2, maxQueued = MAX_QUEUED)
    private val running = mutableListOf<AdmissionRequest>()
    private val waiting = mutableListOf<AdmissionRequest>()
    private val bypasses = mutableMapOf<RequestId, Int>()
    private var offered = 0

    fun offer(n: Int) {
        val request = AdmissionRequest(
            id = RequestId("request-${offered++}"),
            customer = CustomerName("customer-${n % 3}"),
            startBy = now + (n % 10).seconds,
            weight = 1 + n % 2,
            priority = Priority.entries[n % 4 % 3],
            maxRunning = if (n % 3 == 0) 1 else Int.MAX_VALUE
        )
        offer(request)
    }

    fun release(n: Int) {
        if (running.isEmpty()) return
        val released = running.removeAt(n % running.size)
        apply(queue.release(released.id, now, random))
    }

    fun wait(duration: Duration) {
        now += duration
        apply(queue.expire(now, random))
        assertTrue(waiting.none { it.startBy <= now }, "expired requests still wait")
    }

    fun resize(capacity: Int) = apply(queue.resize(capacity, now, random))

    /** Offers [n] urgent requests and releases one after each, as under a lasting overload. */
    fun pressure(n: Int) = repeat(n) {
        offer(
            AdmissionRequest(
                id = RequestId("request-${offered++}"),
                customer = CustomerName("customer-${n % 3}"),
                startBy = now + 10.seconds,
                priority = Priority.ORDER
            )
        )
        release(0)
    }

    private fun offer(request: AdmissionRequest) {
        waiting += request
        bypasses[request.id] = 0
        apply(queue.offer(request, now, random))
    }

    private fun apply(step: AdmissionStep) {
        queue = step.state
        step.effects.forEach(::check)
        assertEquals(running.size, queue.runningCount)
        assertEquals(waiting.size, queue.waitingCount)
        assertTrue(waiting.size <= MAX_QUEUED, "more requests wait than the queue allows")
        val startable = waiting.filter { mayRun(it) }
        val isFull = running.size >= queue.capacity
        assertTrue(isFull || startable.isEmpty(), "not work-conserving: $startable could run")
    }

    private fun check(decision: AdmissionDecision) {
        val request = waiting.firstOrNull { it.id == decision.request }
            ?: throw AssertionError("$decision for a request that is not waiting")
        when (decision) {
            is AdmissionDecision.Admit -> admitted(request)
            is AdmissionDecision.Queue -> Unit
            is AdmissionDecision.Refuse -> {
                waiting -= request
                assertTrue(decision.retryAfter in 250.milliseconds..61.seconds)
            }
        }
    }

    private fun admitted(request: AdmissionRequest) {
        assertTrue(now < request.startBy, "admitted past its deadline: $request")
        assertTrue(mayRun(request), "above the limit of its customer: $request")
        val isOldest = waiting.filter { mayRun(it) }.indexOf(request)
        waiting -= request
        running += request
        assertTrue(running.size <= queue.capacity, "more requests run than the capacity allows")
        if (isOldest > 0) waiting.filter { mayRun(it) }.forEach { bypass(it) }
    }

    private fun bypass(request: AdmissionRequest) {
        val count = bypasses.getValue(request.id) + 1
        bypasses[request.id] = count
        val isAlwaysAllowed = request.maxRunning == Int.MAX_VALUE
        assertTrue(!isAlwaysAllowed || count <= MAX_BYPASSES, "starved: $request")
    }

    private fun mayRun(request: AdmissionRequest): Boolean =
        running.count { it.customer == request.customer } < request.maxRunning

    private companion object {
        const val MAX_QUEUED = 4
        const val MAX_BYPASSES = 8 * (MAX_QUEUED + 1)
    }
}
