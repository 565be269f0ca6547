package org.shallotplank.bench.simulation

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.admission.AdmissionDecision
import org.shallotplank.core.admission.AdmissionQueue
import org.shallotplank.core.admission.AdmissionRequest
import org.shallotplank.core.admission.AdmissionStep
import org.shallotplank.core.config.ServiceLimits
import org.shallotplank.core.limit.LimitEvent
import org.shallotplank.core.limit.UpstreamLimit
import org.shallotplank.core.limit.Warmth
import org.shallotplank.core.limit.on
import org.shallotplank.core.routing.PrefixFingerprint

/** Limits and decision functions of an agent; the baselines replace some of them. */
internal data class AgentPolicy(
    val limits: ServiceLimits = ServiceLimits(),
    /** Maps the adaptive limit to the number of requests that may run at once. */
    val concurrency: (UpstreamLimit) -> Int = { it.concurrency },
    /** Maps each request to the form in which it is offered to the admission queue. */
    val admission: (AdmissionRequest) -> AdmissionRequest = { it }
)

/** An attempt that an entry sends to an agent, with callbacks for its result. */
internal class Attempt(
    val entry: InstanceId,
    val admission: AdmissionRequest,
    val prompt: Prompt,
    val onRefused: (retryAfter: Duration, isDown: Boolean) -> Unit,
    val onFirstToken: () -> Unit,
    val onDone: (step: Duration) -> Unit,
    val onLost: () -> Unit
)

/** State of an upstream that its agent reports to the entries. */
internal data class AgentFacts(
    val running: Int,
    val queued: Int,
    val ownOutstanding: Int,
    val step: Duration,
    val concurrencyLimit: Int,
    val warmth: Warmth,
    val cachedPrefixes: PersistentSet<PrefixFingerprint>
)

/** Simulates the agent of one [FakeEngine] with the adaptive limit and the admission queue. */
internal class FakeAgent(
    val id: InstanceId,
    val zone: ZoneName,
    private val clock: VirtualClock,
    private val policy: AgentPolicy,
    engineSettings: EngineSettings,
    private val random: Random
) {
    val engine = FakeEngine(clock, engineSettings, onCrash = ::upstreamLost)

    /** Whether the agent has received notice that the upstream is out of service. */
    var isDraining = false

    /** Whether entries can reach neither the agent nor its engine. */
    var isUnreachable = false

    /** Number of requests that the agent has started on its engine. */
    var startedWork = 0
        private set
    private var limit = UpstreamLimit(policy.limits)
    private var queue = AdmissionQueue(policy.concurrency(limit), policy.limits.maxQueued)

    /** Number of attempts that the agent has received, refused ones included. */
    var attemptCount = 0
        private set
    private val attempts = mutableMapOf<RequestId, Attempt>()

    init {
        clock.every(REPORT_INTERVAL) { readReport() }
        clock.every(EXPIRY_INTERVAL) { apply(queue.expire(clock.now, random)) }
    }

    fun receive(attempt: Attempt) {
        attemptCount++
        if (isDraining || !engine.isUp) {
            attempt.onRefused(DOWN_RETRY_AFTER, true)
            return
        }
        attempts[attempt.admission.id] = attempt
        apply(queue.offer(policy.admission(attempt.admission), clock.now, random))
    }

    fun facts(entry: InstanceId): AgentFacts = AgentFacts(
        running = queue.runningCount,
        queued = queue.waitingCount,
        ownOutstanding = attempts.values.count { it.entry == entry },
        step = Duration.ZERO,
        concurrencyLimit = queue.capacity,
        warmth = limit.warmth,
        cachedPrefixes = engine.cachedPrefixes.toPersistentSet()
    )

    private fun readReport() {
        if (!engine.isUp) return
        val report = engine.report()
        clock.after(REPORT_LAG) { learn(report) }
    }

    private fun learn(event: LimitEvent) {
        limit = limit.on(event, clock.now)
        val capacity = policy.concurrency(limit)
        if (capacity != queue.capacity) apply(queue.resize(capacity, clock.now, random))
    }

    private fun apply(step: AdmissionStep) {
        queue = step.state
        step.effects.forEach { decision ->
            when (decision) {
                is AdmissionDecision.Admit -> start(attempts.getValue(decision.request))

                is AdmissionDecision.Queue -> Unit

                is AdmissionDecision.Refuse ->
                    attempts.remove(decision.request)?.onRefused?.invoke(decision.retryAfter, false)
            }
        }
    }

    private fun start(attempt: Attempt) {
        val startedAt = clock.now
        var firstToken: Duration? = null
        startedWork++
        learn(LimitEvent.Started)
        val listener = GenerationListener(
            onFirstToken = {
                firstToken = clock.now - startedAt
                attempt.onFirstToken()
            },
            onDone = { step ->
                finish(attempt, LimitEvent.Finished(firstToken, step, succeeded = true))
                attempt.onDone(step)
            },
            onLost = {
                finish(attempt, LimitEvent.Finished(firstToken, null, succeeded = false))
                attempt.onLost()
            }
        )
        engine.start(Generation(attempt.prompt, listener))
    }

    private fun finish(attempt: Attempt, event: LimitEvent) {
        attempts.remove(attempt.admission.id)
        learn(event)
        apply(queue.release(attempt.admission.id, clock.now, random))
    }

    private fun upstreamLost() {
        learn(LimitEvent.UpstreamLost)
        val waiting = attempts.values.filter { queue.isWaiting(it.admission.id) }
        waiting.forEach { attempt ->
            attempts.remove(attempt.admission.id)
            queue = queue.release(attempt.admission.id, clock.now, random).state
            attempt.onRefused(DOWN_RETRY_AFTER, true)
        }
    }

    private companion object {
        val REPORT_INTERVAL = 500.milliseconds
        val REPORT_LAG = 500.milliseconds
        val EXPIRY_INTERVAL = 50.milliseconds
        val DOWN_RETRY_AFTER = 1000.milliseconds
    }
}
