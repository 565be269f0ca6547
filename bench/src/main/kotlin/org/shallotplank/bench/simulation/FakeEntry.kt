package org.shallotplank.bench.simulation

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Address
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.admission.AdmissionRequest
import org.shallotplank.core.quarantine.Quarantine
import org.shallotplank.core.quarantine.QuarantineVerdict
import org.shallotplank.core.retry.RetryBudgets
import org.shallotplank.core.retry.RetryScope
import org.shallotplank.core.retry.attemptStartBy
import org.shallotplank.core.routing.ReportedLoad
import org.shallotplank.core.routing.RoutingRequest
import org.shallotplank.core.routing.UpstreamView

/** Chooses the upstream for a request, or returns null if no candidate may receive it. */
internal typealias RoutingPolicy =
    (PersistentList<UpstreamView>, RoutingRequest, VirtualClock, Random) -> InstanceId?

/** Routing and retry policy of an entry; the baselines replace parts of it. */
internal data class EntryPolicy(
    val newRouting: () -> RoutingPolicy = { shallotplankRouting },
    val maxAttempts: Int = 3,
    val hasRetryBudget: Boolean = true,
    val hasQuarantine: Boolean = true,
    val retryRatio: Double = 0.1
)

/** Simulates an entry, which observes its upstreams only through delayed reports of agents. */
internal class FakeEntry(
    val id: InstanceId,
    private val zone: ZoneName,
    private val clock: VirtualClock,
    private val policy: EntryPolicy,
    private val agents: Map<InstanceId, FakeAgent>,
    private val random: Random
) {
    private val routing = policy.newRouting()
    private var budgets = RetryBudgets()
    private var attemptCount = 0L
    private val views = agents.values.associateTo(linkedMapOf()) { agent ->
        agent.id to UpstreamView(agent.id, agent.zone, REGION, Address("127.0.0.1", 1))
    }

    var quarantine = Quarantine()
        private set

    /** The other entries, to which this entry sends its quarantine records after a crash. */
    var peers: List<FakeEntry> = emptyList()

    init {
        clock.every(PUSH_INTERVAL) {
            agents.values.filterNot { it.isUnreachable }.forEach { agent ->
                val facts = agent.facts(id)
                val at = clock.now
                clock.after(PUSH_LAG) { update(agent.id) { it.with(facts, at) } }
            }
        }
    }

    fun submit(call: Call) {
        if (isQuarantined(call)) return call.refuse(final = true, QUARANTINE_RETRY_AFTER)
        budgets = budgets.afterRequest(call.scope(), policy.retryRatio)
        tryOnce(call)
    }

    /** Marks the upstreams in [zone] as draining or as back in service. */
    fun setDraining(zone: ZoneName, draining: Boolean) {
        agents.values.filter { it.zone == zone }.forEach { agent ->
            update(agent.id) { it.copy(draining = draining, consecutiveFailures = 0) }
        }
    }

    fun learn(other: Quarantine) {
        quarantine = quarantine.merge(other)
    }

    private fun isQuarantined(call: Call): Boolean = policy.hasQuarantine &&
        quarantine.verdict(call.fingerprint, clock.now) == QuarantineVerdict.QUARANTINED

    private fun tryOnce(call: Call) {
        val request = RoutingRequest(
            zone,
            REGION,
            SERVICE,
            call.prompt.prefix,
            excluded = call.tried
        )
        val candidates = views.values.toPersistentList()
        val chosen = routing(candidates, request, clock, random)
            ?: return call.refuse(final = false, NO_UPSTREAM_RETRY_AFTER)
        val agent = agents.getValue(chosen)
        val attemptId = "${id.value}-${attemptCount++}"
        call.tried = call.tried.add(chosen)
        update(chosen) { it.copy(outstanding = it.outstanding + 1) }
        if (agent.isUnreachable) {
            clock.after(CONNECT_TIMEOUT) { failed(call, chosen) }
            return
        }
        clock.after(latency(agent)) { agent.receive(attempt(call, agent, attemptId)) }
    }

    private fun attempt(call: Call, agent: FakeAgent, attemptId: String) = Attempt(
        entry = id,
        admission = AdmissionRequest(
            id = RequestId(attemptId),
            customer = call.customer.name,
            startBy = attemptStartBy(
                startBy = call.startBy(clock.now),
                attemptsLeft = attemptsLeft(call),
                now = clock.now
            ),
            weight = call.customer.weight
        ),
        prompt = call.prompt,
        onRefused = { retryAfter, isDown ->
            answer(agent) { refused(call, agent.id, retryAfter, isDown) }
        },
        onFirstToken = {
            answer(agent) {
                update(agent.id) { it.copy(consecutiveFailures = 0) }
                call.firstToken(clock.now)
            }
        },
        onDone = { step ->
            answer(agent) {
                update(agent.id) { it.copy(outstanding = it.outstanding - 1) }
                call.complete(clock.now, step)
            }
        },
        onLost = {
            val delay = if (agent.isUnreachable) SILENCE_TIMEOUT else latency(agent)
            clock.after(delay) { lost(call, agent.id, AttemptId(attemptId)) }
        }
    )

    /** Applies the load report in a response of [agent] and runs [action], after the latency. */
    private fun answer(agent: FakeAgent, action: () -> Unit) {
        val facts = agent.facts(id)
        val at = clock.now
        clock.after(latency(agent)) {
            update(agent.id) { it.with(facts, at) }
            action()
        }
    }

    private fun refused(call: Call, by: InstanceId, retryAfter: Duration, isDown: Boolean) {
        update(by) {
            val failures = if (isDown) it.consecutiveFailures + 1 else 0
            it.copy(
                outstanding = it.outstanding - 1,
                consecutiveFailures = failures,
                lastFailureAt = clock.now
            )
        }
        retry(call, retryAfter)
    }

    private fun failed(call: Call, by: InstanceId) = refused(call, by, RETRY_AFTER_FAILURE, true)

    private fun lost(call: Call, by: InstanceId, attempt: AttemptId) {
        call.cuts++
        val isCrash = !agents.getValue(by).isUnreachable
        if (policy.hasQuarantine && isCrash) {
            quarantine = quarantine.crashed(call.fingerprint, attempt, clock.now)
            val records = quarantine
            peers.forEach { peer -> clock.after(PEER_LATENCY) { peer.learn(records) } }
        }
        failed(call, by)
    }

    private fun retry(call: Call, retryAfter: Duration) {
        if (isQuarantined(call)) return call.refuse(final = true, QUARANTINE_RETRY_AFTER)
        val isInTime = clock.now - call.startedAt < START_BUDGET || call.cuts > 0
        if (call.tried.size >= policy.maxAttempts || !isInTime) {
            return call.refuse(final = false, retryAfter)
        }
        if (policy.hasRetryBudget) {
            budgets = budgets.afterRetry(call.scope(), policy.retryRatio)
                ?: return call.refuse(final = false, retryAfter)
        }
        tryOnce(call)
    }

    private fun update(agent: InstanceId, change: (UpstreamView) -> UpstreamView) {
        views[agent] = change(views.getValue(agent))
    }

    private fun latency(agent: FakeAgent): Duration =
        if (agent.zone == zone) SAME_ZONE_LATENCY else OTHER_ZONE_LATENCY

    /** Number of attempts that [call] may still make, including the current one. */
    private fun attemptsLeft(call: Call): Int {
        val isAllowed =
            !policy.hasRetryBudget || budgets.allows(call.scope(), policy.retryRatio)
        return if (isAllowed) policy.maxAttempts - call.tried.size + 1 else 1
    }

    /** An interrupted request gets a new budget, since its caller already has the first tokens. */
    private fun Call.startBy(now: Instant): Instant =
        (if (cuts > 0) now else startedAt) + START_BUDGET

    private fun Call.scope() = RetryScope(customer.name, SERVICE)
}

private fun UpstreamView.with(facts: AgentFacts, at: Instant): UpstreamView {
    val isOlder = load?.let { it.at > at } ?: false
    if (isOlder) return this
    return copy(
        warmth = facts.warmth,
        load = ReportedLoad(facts.running, facts.queued, facts.step, at, facts.ownOutstanding),
        concurrencyLimit = facts.concurrencyLimit,
        cachedPrefixes = facts.cachedPrefixes
    )
}

private const val REGION = "windhoek"
private val SERVICE = ServiceName("draft-model")
private val START_BUDGET = 1100.milliseconds
private val PUSH_INTERVAL = 1.seconds
private val PUSH_LAG = 500.milliseconds
private val SAME_ZONE_LATENCY = 0.2.milliseconds
private val OTHER_ZONE_LATENCY = 1.milliseconds
private val PEER_LATENCY = 1.milliseconds
private val CONNECT_TIMEOUT = 300.milliseconds
private val SILENCE_TIMEOUT = 1.seconds
private val NO_UPSTREAM_RETRY_AFTER = 1.seconds
private val RETRY_AFTER_FAILURE = 1.seconds
private val QUARANTINE_RETRY_AFTER = 60.seconds
