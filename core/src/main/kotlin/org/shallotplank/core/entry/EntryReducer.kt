package org.shallotplank.core.entry

import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.InstanceState
import org.shallotplank.core.Step
import org.shallotplank.core.agent.AgentReport
import org.shallotplank.core.agent.UpstreamState
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.limit.Warmth
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.membership.CandidateSelection
import org.shallotplank.core.routing.PrefixFingerprint
import org.shallotplank.core.routing.ReportedLoad
import org.shallotplank.core.routing.UpstreamView
import org.shallotplank.core.then
import org.shallotplank.core.withoutEntriesBefore

/** An entry's next state and the side effects that it requests. */
public typealias EntryStep = Step<EntryState, EntryEffect>

/**
 * Reduces one event of an entry instance.
 *
 * Each request that arrived ends in exactly one of: a complete answer, a refusal, a rejection, a
 * cut answer, or the departure of its caller.
 */
public fun EntryState.on(event: EntryEvent, now: Instant, random: Random): EntryStep {
    val context = EntryContext(now, random)
    return when (event) {
        is EntryEvent.Arrived -> onArrived(event.call, context)
        is EntryEvent.CallerLeft -> onCallerLeft(event.requestId)
        is EntryEvent.Replied -> onReplied(event, context)
        is EntryEvent.OfferUnsent -> onOfferUnsent(event, context)
        is EntryEvent.Connected -> onConnected(event.instance)
        is EntryEvent.Disconnected -> onDisconnected(event.instance, context)
        is EntryEvent.Reported -> Step(onReported(event.report, now))
        is EntryEvent.InstancesListed -> onInstances(event.instances, context)
        is EntryEvent.ConfigurationAccepted -> onConfiguration(event.configuration)
        is EntryEvent.LookedUp -> onLookedUp(event, context)
        is EntryEvent.CrashLearned -> Step(copy(quarantine = quarantine.merge(event.record)))
        is EntryEvent.ReadinessChanged -> Step(copy(hasCaughtUp = event.isReady))
        is EntryEvent.LeavingLearned ->
            Step(copy(leaving = leaving.put(event.instance, event.expiresAt)))
        EntryEvent.StopRequested -> onStopRequested(context)
        EntryEvent.Tick -> onTick(context)
    }
}

/** Time and randomness of one event. */
internal class EntryContext(val now: Instant, val random: Random)

private fun EntryState.onConnected(instance: InstanceId): EntryStep {
    val known = upstreams[instance] ?: return Step(this)
    val view = known.view.copy(outstanding = 0, consecutiveFailures = 0, load = null)
    val connected = known.copy(connected = true, view = view)
    return copy(upstreams = upstreams.put(instance, connected))
        .logged(logRecord(LogEvent.AGENT_CONNECTED, "instance" to instance))
}

private fun EntryState.onDisconnected(instance: InstanceId, context: EntryContext): EntryStep {
    val known = upstreams[instance]
    val marked = if (known == null) {
        this
    } else {
        copy(upstreams = upstreams.put(instance, known.copy(connected = false)))
    }
    val orphans = calls.values.filter {
        (it.phase as? CallPhase.Trying)?.upstream == instance
    }
    val log = logRecord(
        LogEvent.AGENT_DISCONNECTED,
        "instance" to instance,
        "open_attempts" to orphans.size
    )
    return orphans.fold(marked.logged(log)) { step, call ->
        step.then { it.onAgentLost(call.request.requestId, context) }
    }
}

private fun EntryState.onReported(report: AgentReport, now: Instant): EntryState {
    val known = upstreams[report.instance] ?: return this
    val view = known.view.copy(
        warmth = report.state.warmth,
        load = ReportedLoad(
            running = report.running,
            queued = report.queued,
            step = report.stepMicros.microseconds,
            at = now,
            ownOutstanding = known.view.outstanding
        ),
        concurrencyLimit = report.concurrency,
        cachedPrefixes = report.cachedPrefixes.map { PrefixFingerprint(it) }.toPersistentSet()
    )
    val reported = known.copy(view = view, report = report)
    return copy(upstreams = upstreams.put(report.instance, reported))
}

private val UpstreamState.warmth: Warmth
    get() = when (this) {
        UpstreamState.READY -> Warmth.READY
        UpstreamState.WARMING -> Warmth.WARMING
        else -> Warmth.COLD
    }

private fun EntryState.onInstances(
    instances: PersistentList<Instance>,
    context: EntryContext
): EntryStep {
    val latest = if (instances == listing.instances) listing else listingOf(instances)
    val listed = latest.candidates.associateBy { it.id }
    val kept = upstreams.mutate { map ->
        listed.values.forEach { map[it.id] = map[it.id].updatedFrom(it) }
        map.keys.removeAll { it !in listed && map[it]?.connected != true }
    }
    val connects = listed.values
        .filter { upstreams[it.id]?.view?.address != it.address }
        .map { EntryEffect.Connect(it.id, it.address) }
    val gone = upstreams.keys.filter { it !in kept }
    val effects = connects + gone.map { EntryEffect.Disconnect(it) }
    return Step(
        copy(upstreams = kept, listing = latest),
        persistentListOf<EntryEffect>().addAll(effects)
    ).then { state ->
        gone.fold(EntryStep(state)) { step, id -> step.then { it.onDisconnected(id, context) } }
    }
}

/** Chooses the upstreams of each service that this entry connects to. */
private fun EntryState.listingOf(instances: PersistentList<Instance>): InstanceListing {
    val (entries, upstreams) = instances.partition { it.role == InstanceRole.ENTRY }
    val own = Instance(
        id = self.instance,
        role = InstanceRole.ENTRY,
        zone = self.zone,
        region = self.region,
        address = self.publicAddress
    )
    val selection = CandidateSelection()
    val candidates = upstreams
        .groupBy { it.service }
        .filterKeys { it != null }
        .values
        .flatMap { selection.candidates(own, entries, it) }
    return InstanceListing(instances, entries.toPersistentList(), candidates.toPersistentList())
}

private fun KnownUpstream?.updatedFrom(instance: Instance): KnownUpstream {
    val isLeaving = instance.state == InstanceState.LEAVING
    val isSame = this != null && view.address == instance.address
    if (this != null && isSame) return copy(leaving = isLeaving)
    return KnownUpstream(
        service = instance.service ?: error("upstream ${instance.id} has no service"),
        view = UpstreamView(instance.id, instance.zone, instance.region, instance.address),
        leaving = isLeaving
    )
}

private fun EntryState.onConfiguration(accepted: Configuration): EntryStep {
    val present = configuration
    if (present != null && accepted.version <= present.version) return Step(this)
    val inForce = copy(
        configuration = accepted,
        customersByToken = accepted.customers.associateBy { it.tokenSha256 }.toPersistentMap()
    )
    val log = logRecord(LogEvent.CONFIGURATION_IN_FORCE, "version" to accepted.version)
    return inForce.logged(log)
}

private fun EntryState.onStopRequested(context: EntryContext): EntryStep {
    if (drainingSince != null) return Step(this)
    val log = logRecord(LogEvent.PROCESS_DRAINING, "in_flight" to calls.size)
    return copy(drainingSince = context.now).logged(log).then { it.exitWhenDrained(context) }
}

private fun EntryState.onTick(context: EntryContext): EntryStep {
    val swept = copy(
        quarantine = quarantine.expire(context.now),
        leaving = leaving.withoutEntriesBefore(context.now)
    )
    return calls.keys
        .fold(EntryStep(swept)) { step, id -> step.then { it.onCallTick(id, context) } }
        .then { it.exitWhenDrained(context) }
}

private fun EntryState.exitWhenDrained(context: EntryContext): EntryStep {
    if (!isDrained(context.now)) return Step(this)
    val cut = draining().copy(runState = RunState.MAY_HAVE_RUN)
    return calls.keys
        .fold(EntryStep(this)) { step, id -> step.then { it.endRefused(id, cut) } }
        .then { Step(it, persistentListOf(EntryEffect.Exit)) }
}

internal fun draining() = Refusal.notRun(RefusalReason.DRAINING, "the entry instance is stopping")

internal fun EntryState.logged(record: LogRecord): EntryStep =
    Step(this, persistentListOf(EntryEffect.Log(record)))
