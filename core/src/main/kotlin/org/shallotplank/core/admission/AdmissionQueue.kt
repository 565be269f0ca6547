package org.shallotplank.core.admission

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.Step
import org.shallotplank.core.config.Priority

/** The queue after an event, and its decisions in the order in which they were taken. */
public typealias AdmissionStep = Step<AdmissionQueue, AdmissionDecision>

/**
 * Admission control with a short queue.
 *
 * Runs up to [capacity] requests at once and lets up to [maxQueued] wait. It is work-conserving:
 * while capacity is free, a waiting request that may run is admitted. The most urgent priority goes
 * first; within a priority, the customer that has received the least of its fair share. Every
 * [ADMISSIONS_PER_OLDEST]th admission goes to the request that has waited longest, so that none
 * starves. A request is never admitted after its [AdmissionRequest.startBy], and is refused at once
 * when it is not expected to start by then.
 *
 * Once [withUrgency] was called with true, capacity that more urgent requests will need shortly
 * stays free, and a waiting request is refused as soon as more urgent arrivals delay it too long;
 * see [Urgency].
 *
 * Any call may also return decisions on requests other than the one passed in. When [capacity]
 * falls below the number of running requests, these continue and no others start.
 */
@ConsistentCopyVisibility
public data class AdmissionQueue internal constructor(
    val capacity: Int,
    val maxQueued: Int,
    internal val running: PersistentMap<RequestId, RunningRequest> = persistentMapOf(),
    internal val runningByCustomer: PersistentMap<CustomerName, Int> = persistentMapOf(),
    /** In order of arrival. */
    internal val waiting: PersistentList<AdmissionRequest> = persistentListOf(),
    internal val shares: FairShares = FairShares(),
    internal val retryJitter: RetryJitter = RetryJitter(),
    internal val serviceTime: Duration? = null,
    internal val admissionsSinceOldest: Int = 0,
    /** Null if all requests have the same priority; the queue then reserves no capacity. */
    internal val urgency: Urgency? = null
) {
    /** Creates an empty queue. */
    public constructor(capacity: Int, maxQueued: Int) : this(
        capacity = capacity,
        maxQueued = maxQueued,
        waiting = persistentListOf()
    )

    /** Number of requests that have been admitted and not released. */
    public val runningCount: Int get() = running.size

    /** Number of waiting requests. */
    public val waitingCount: Int get() = waiting.size

    /** Whether the request [id] is waiting. */
    public fun isWaiting(id: RequestId): Boolean = waiting.any { it.id == id }

    /** Earliest deadline of the waiting requests, null while none waits. */
    public val nextExpiry: Instant? get() = waiting.minOfOrNull { it.startBy }

    /** Admits, queues or refuses [request]; a known id is refused with `QUEUE_FULL`. */
    public fun offer(request: AdmissionRequest, now: Instant, random: Random): AdmissionStep {
        val swept = expire(now, random)
        val queue = swept.state
        val isKnown = request.id in queue.running || queue.isWaiting(request.id)
        val refusal = when {
            isKnown -> RefusalReason.QUEUE_FULL
            request.startBy <= now -> RefusalReason.EXPIRED
            else -> null
        }
        if (refusal != null) return swept.refuse(request, refusal, now, random)
        val arrived = queue.copy(
            waiting = queue.waiting.add(request),
            urgency = queue.urgency?.afterArrival(request.priority, now)
        )
        val placed = Step(arrived, swept.effects)
            .dispatch(now)
            .trim(now, random)
            .yieldTo(request, now, random)
        if (!placed.state.isWaiting(request.id)) return placed
        if (now + placed.state.expectedWait(request) > request.startBy) {
            val kept = placed.state.waiting.removeAll { it.id == request.id }
            return Step(placed.state.copy(waiting = kept), placed.effects)
                .refuse(request, RefusalReason.WOULD_EXPIRE, now, random)
                .yieldAhead(request, now, random)
        }
        return Step(placed.state, placed.effects.add(AdmissionDecision.Queue(request.id)))
    }

    /** Number of waiting requests, by priority. */
    public val waitingByPriority: Map<Priority, Int>
        get() = waiting.groupingBy { it.priority }.eachCount()

    /**
     * Sets what waits at other entries; null if all requests have the same priority, so that no
     * capacity is reserved.
     */
    public fun withUrgency(elsewhere: ElsewhereWaiting?): AdmissionQueue = copy(
        urgency = elsewhere?.let { (urgency ?: Urgency()).copy(elsewhere = it) }
    )

    /** Removes the running or waiting request [id]; unknown ids change nothing. */
    public fun release(id: RequestId, now: Instant, random: Random): AdmissionStep =
        AdmissionStep(withdraw(id, now)).expire(now, random).dispatch(now)

    /** Refuses the waiting requests whose deadline has passed. */
    public fun expire(now: Instant, random: Random): AdmissionStep {
        val expired = waiting.filter { it.startBy <= now }
        if (expired.isEmpty()) return Step(this)
        val kept = copy(waiting = waiting.removeAll { it.startBy <= now })
        return expired.fold(AdmissionStep(kept)) { step, request ->
            step.refuse(request, RefusalReason.EXPIRED, now, random)
                .yieldAhead(request, now, random)
        }
    }

    /** Changes [capacity] and [maxQueued]. */
    public fun resize(
        capacity: Int,
        now: Instant,
        random: Random,
        maxQueued: Int = this.maxQueued
    ): AdmissionStep = AdmissionStep(copy(capacity = capacity, maxQueued = maxQueued))
        .expire(now, random)
        .dispatch(now)
        .trim(now, random)

    private fun withdraw(id: RequestId, now: Instant): AdmissionQueue {
        val ended = running[id] ?: return copy(waiting = waiting.removeAll { it.id == id })
        val left = (runningByCustomer[ended.customer] ?: 1) - 1
        return copy(
            running = running.remove(id),
            runningByCustomer = when (left) {
                0 -> runningByCustomer.remove(ended.customer)
                else -> runningByCustomer.put(ended.customer, left)
            },
            serviceTime = smoothed(now - ended.since)
        )
    }

    private fun smoothed(observed: Duration): Duration {
        val usual = serviceTime ?: return observed
        return usual + (observed - usual) * SERVICE_TIME_SMOOTHING
    }

    /** Expected time until the waiting [request] starts. */
    internal fun expectedWait(request: AdmissionRequest): Duration {
        val usual = serviceTime ?: return Duration.ZERO
        val ahead = waiting.count { it.id != request.id && precedence.compare(it, request) <= 0 }
        return usual * (ahead + 1) / capacity.coerceAtLeast(1)
    }

    internal val precedence: Comparator<AdmissionRequest>
        get() = compareBy({ it.priority }, { shares.startTag(it.customer) })

    internal fun admitted(request: AdmissionRequest, now: Instant): AdmissionQueue = copy(
        waiting = waiting.removeAll { it.id == request.id },
        running = running.put(request.id, RunningRequest(request.customer, now)),
        runningByCustomer = runningByCustomer.put(
            request.customer,
            (runningByCustomer[request.customer] ?: 0) + 1
        ),
        shares = shares.afterAdmission(request.customer, request.weight),
        admissionsSinceOldest = if (request == allowed.first()) 0 else admissionsSinceOldest + 1,
        urgency = urgency?.afterAdmission(
            priority = request.priority,
            isInOrder = allowed.none { it.priority < request.priority },
            now = now
        )
    )

    /** Waiting requests whose customers are below their limits, in order of arrival. */
    internal val allowed: List<AdmissionRequest>
        get() = waiting.filter { (runningByCustomer[it.customer] ?: 0) < it.maxRunning }

    /** The waiting request to admit next, null without free capacity or when none may run. */
    internal fun next(): AdmissionRequest? {
        if (running.size >= capacity) return null
        if (urgency != null) return nextByUrgency(urgency)
        if (admissionsSinceOldest >= ADMISSIONS_PER_OLDEST - 1) return allowed.firstOrNull()
        return allowed.minWithOrNull(precedence)
    }

    /** Expected time between two admissions while the capacity is fully used. */
    internal val admissionInterval: Duration
        get() = (serviceTime ?: DEFAULT_SERVICE_TIME) / capacity.coerceAtLeast(1)
}

/** Admits waiting requests while capacity is free. */
private tailrec fun AdmissionStep.dispatch(now: Instant): AdmissionStep {
    val request = state.next() ?: return this
    val decision = AdmissionDecision.Admit(request.id)
    return Step(state.admitted(request, now), effects.add(decision)).dispatch(now)
}

/** Refuses waiting requests that are less urgent than [arrived] and now expected to be too late. */
private fun AdmissionStep.yieldTo(
    arrived: AdmissionRequest,
    now: Instant,
    random: Random
): AdmissionStep {
    val late = state.tooLateBehind(arrived, now) ?: return this
    val kept = state.copy(waiting = state.waiting.removeAll { it.id == late.id })
    return Step(kept, effects)
        .refuse(late, RefusalReason.YIELDED, now, random)
        .yieldTo(arrived, now, random)
}

/** Refuses a less urgent waiting request in place of which [refused] could have been served. */
private fun AdmissionStep.yieldAhead(
    refused: AdmissionRequest,
    now: Instant,
    random: Random
): AdmissionStep {
    val ahead = state.aheadOf(refused) ?: return this
    val kept = state.copy(waiting = state.waiting.removeAll { it.id == ahead.id })
    return Step(kept, effects).refuse(ahead, RefusalReason.YIELDED, now, random)
}

/** Refuses the least entitled requests while more than [AdmissionQueue.maxQueued] wait. */
private fun AdmissionStep.trim(now: Instant, random: Random): AdmissionStep {
    if (state.waiting.size <= state.maxQueued) return this
    val victim = state.waiting.leastEntitled(state.shares)
    val kept = state.copy(waiting = state.waiting.removeAll { it.id == victim.id })
    return Step(kept, effects)
        .refuse(victim, RefusalReason.QUEUE_FULL, now, random)
        .trim(now, random)
}

private fun AdmissionStep.refuse(
    request: AdmissionRequest,
    reason: RefusalReason,
    now: Instant,
    random: Random
): AdmissionStep {
    val retryAfter = state.retryJitter.draw(
        state.admissionInterval,
        state.waiting.size,
        now,
        random
    )
    val counted = state.copy(retryJitter = state.retryJitter.afterRefusal(now))
    return Step(counted, effects.add(AdmissionDecision.Refuse(request.id, reason, retryAfter)))
}

private fun AdmissionStep.expire(now: Instant, random: Random): AdmissionStep {
    val swept = state.expire(now, random)
    return Step(swept.state, effects.addAll(swept.effects))
}

/** Of this many admissions, one goes to the request that has waited longest. */
private const val ADMISSIONS_PER_OLDEST = 8
private const val SERVICE_TIME_SMOOTHING = 0.1
private val DEFAULT_SERVICE_TIME = 1000.milliseconds
