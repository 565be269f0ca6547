package org.shallotplank.bench.simulation

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.quarantine.RequestFingerprint
import org.shallotplank.core.routing.PrefixFingerprint

/**
 * How callers react to a refusal. With [HONOR_RETRY_AFTER] they don't retry after a final refusal;
 * with [NEVER_GIVE_UP] they do. Callers that send a poison prompt always retry.
 */
internal enum class CallerBehavior {
    GIVE_UP,
    HONOR_RETRY_AFTER,
    NEVER_GIVE_UP
}

/** Topology, policies and traffic of one simulation run. */
internal data class SimulationSettings(
    val requestsPerSecond: Double,
    val zones: Int = 3,
    val enginesPerZone: Int = 4,
    val entries: Int = 4,
    val customers: List<BenchCustomer> = evenCustomers(10, requestsPerSecond),
    val engine: (index: Int) -> EngineSettings = { EngineSettings() },
    val agentPolicy: AgentPolicy = AgentPolicy(),
    val entryPolicy: EntryPolicy = EntryPolicy(),
    val callers: CallerBehavior = CallerBehavior.GIVE_UP,
    val warmUp: Duration = 30.seconds,
    val duration: Duration = 60.seconds,
    /** Time after the end of the traffic in which in-flight requests can finish. */
    val drain: Duration = 20.seconds
)

/** Simulates entries that route independently of each other to agents and their engines. */
internal class Simulation(val settings: SimulationSettings, seed: Long) {
    val clock = VirtualClock()
    val random = Random(seed)
    val zones = List(settings.zones) { ZoneName("zone-${'a' + it}") }
    val agents: List<FakeAgent> = List(settings.zones * settings.enginesPerZone) { index ->
        FakeAgent(
            id = InstanceId("upstream-$index"),
            zone = zones[index % zones.size],
            clock = clock,
            policy = settings.agentPolicy,
            engineSettings = settings.engine(index),
            random = Random(random.nextLong())
        )
    }
    val entries: List<FakeEntry> = List(settings.entries) { index ->
        FakeEntry(
            id = InstanceId("entry-$index"),
            zone = zones[index % zones.size],
            clock = clock,
            policy = settings.entryPolicy,
            agents = agents.associateBy { it.id },
            random = Random(random.nextLong())
        )
    }

    /** Results of all calls that started after the warm-up. */
    val measurements = Measurements()
    private val measurementsByCustomer = mutableMapOf<CustomerName, Measurements>()
    private val trafficEnd = settings.warmUp + settings.duration

    init {
        entries.forEach { entry -> entry.peers = entries - entry }
        settings.customers.forEach(::nextArrival)
    }

    fun of(customer: CustomerName): Measurements =
        measurementsByCustomer.getOrPut(customer) { Measurements() }

    /** Runs [action] at [time] after the warm-up. */
    fun at(time: Duration, action: () -> Unit): Unit = clock.after(settings.warmUp + time, action)

    fun run(): Simulation {
        clock.runFor(trafficEnd + settings.drain)
        return this
    }

    /** Sends a request of [customer]; a refusal is retried as the caller behavior defines. */
    fun call(customer: BenchCustomer, prompt: Prompt, fingerprint: RequestFingerprint) {
        val call = Call(customer, prompt, fingerprint, clock.now, ::ended)
        if (isMeasured(call)) measurements.begin()
        clock.after(CLIENT_LATENCY) { entries.random(random).submit(call) }
    }

    private fun nextArrival(customer: BenchCustomer) {
        if (customer.requestsPerSecond <= 0.0) return
        val pause = -ln(1.0 - random.nextDouble()) / customer.requestsPerSecond
        clock.after(pause.seconds) {
            if (clock.elapsed < trafficEnd) {
                call(customer, randomPrompt(), randomFingerprint(customer))
                nextArrival(customer)
            }
        }
    }

    private fun ended(call: Call, outcome: Outcome) {
        if (isMeasured(call)) {
            measurements.record(call, outcome, clock.elapsed)
            of(call.customer.name).record(call, outcome, clock.elapsed)
        }
        if (outcome !is Outcome.Refused) return
        val pause = pauseBeforeRetry(call, outcome) ?: return
        clock.after(pause) {
            if (clock.elapsed < trafficEnd) call(call.customer, call.prompt, call.fingerprint)
        }
    }

    private fun pauseBeforeRetry(call: Call, outcome: Outcome.Refused): Duration? {
        if (call.prompt.poison) return IMMEDIATE_RETRY_PAUSE
        return when (settings.callers) {
            CallerBehavior.GIVE_UP -> null
            CallerBehavior.HONOR_RETRY_AFTER -> outcome.retryAfter.takeUnless { outcome.final }
            CallerBehavior.NEVER_GIVE_UP -> IMMEDIATE_RETRY_PAUSE
        }
    }

    private fun isMeasured(call: Call): Boolean = call.startedAt - clock.start >= settings.warmUp

    private fun randomFingerprint(customer: BenchCustomer) =
        RequestFingerprint(customer.name, random.nextLong().toString())

    private fun randomPrompt(): Prompt {
        val rank = (PREFIX_COUNT.toDouble().pow(random.nextDouble()) - 1).toInt()
        return Prompt(PrefixFingerprint("prefix-$rank"), random.nextInt(MIN_TOKENS, MAX_TOKENS))
    }
}

/** [count] customers that share [requestsPerSecond] evenly. */
internal fun evenCustomers(count: Int, requestsPerSecond: Double): List<BenchCustomer> =
    List(count) { BenchCustomer(CustomerName("customer-$it"), requestsPerSecond / count) }

private val CLIENT_LATENCY = 1.milliseconds
private val IMMEDIATE_RETRY_PAUSE = 100.milliseconds
private const val PREFIX_COUNT = 200
private const val MIN_TOKENS = 50
private const val MAX_TOKENS = 150
