package org.shallotplank.bench

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.bench.simulation.AgentPolicy
import org.shallotplank.bench.simulation.CallerBehavior
import org.shallotplank.bench.simulation.EngineSettings
import org.shallotplank.bench.simulation.EntryPolicy
import org.shallotplank.bench.simulation.FakeAgent
import org.shallotplank.bench.simulation.Prompt
import org.shallotplank.bench.simulation.Simulation
import org.shallotplank.bench.simulation.SimulationSettings
import org.shallotplank.core.quarantine.RequestFingerprint
import org.shallotplank.core.routing.PrefixFingerprint

/** How an availability zone leaves service, and whether the platform table is down meanwhile. */
private enum class ZoneFault(val label: String, val isKill: Boolean, val isTableDown: Boolean) {
    PLANNED("planned", false, false),
    PLANNED_TABLE_DOWN("planned, table down", false, true),
    KILLED("killed", true, false),
    KILLED_TABLE_DOWN("killed, table down", true, true)
}

internal fun zoneMove(seed: Long): ScenarioResult {
    val variants = mapOf(
        OWN_VARIANT to (AgentPolicy() to EntryPolicy()),
        "no slow start" to (noSlowStart to EntryPolicy()),
        "round robin" to (AgentPolicy() to routingVariants[1].policy)
    )
    val figures = mutableListOf<Figure>()
    val series = mutableListOf<Series>()
    ZoneFault.entries.forEach { fault ->
        variants.forEach { (variant, policies) ->
            val settings = SimulationSettings(
                requestsPerSecond = 0.6 * FULL_LOAD_REQUESTS_PER_SECOND,
                agentPolicy = policies.first,
                entryPolicy = policies.second,
                callers = CallerBehavior.GIVE_UP,
                duration = 90.seconds
            )
            val run = Simulation(settings, seed)
            val startedLate = run.moveZone(fault)
            val shareAfterReturn = run.shareOfFirstZone(from = SETTLED_AT)
            run.run()
            figures += run.zoneFigures(variant, fault, startedLate())
            val figure = "share of new work in the returned zone, ${fault.label}"
            figures += Figure(variant, figure, shareAfterReturn(), "")
            if (variant == OWN_VARIANT) series += run.goodputSeries(fault.label)
        }
    }
    return resultOf(figures, series)
}

private fun Simulation.zoneFigures(
    variant: String,
    fault: ZoneFault,
    startedLate: Int
): List<Figure> {
    val suffix = ", ${fault.label}"
    return listOf(
        Figure(variant, "attempts cut$suffix", measurements.cut.toDouble(), "", cutTarget(fault)),
        Figure(
            variant,
            "requests cut and not answered$suffix",
            measurements.cutForGood.toDouble(),
            "",
            Target.AtMost(0.0)
        ),
        Figure(variant, "new work after 5 s$suffix", startedLate + 0.0, "", Target.AtMost(0.0)),
        measurements.refusedFigure(variant, suffix, Target.AtMost(0.001)),
        measurements.firstTokenFigure(variant, suffix),
        measurements.stepFigure(variant, suffix),
        measurements.withoutEndFigure(variant, suffix),
        startedAboveColdFigure(variant, suffix)
    )
}

/** No target for a killed zone: its running attempts are lost and can only be retried elsewhere. */
private fun cutTarget(fault: ZoneFault): Target? = Target.AtMost(0.0).takeUnless { fault.isKill }

/**
 * Schedules the departure and return of the first zone. The returned function gives the number of
 * requests that started in the zone more than 5 s after its departure.
 */
private fun Simulation.moveZone(fault: ZoneFault): () -> Int {
    val zone = zones.first()
    val members = agents.filter { it.zone == zone }
    var startedAt5Seconds = 0
    var startedLate = 0
    at(LEAVE_AT) { if (fault.isKill) members.forEach { it.kill() } else notify(fault, true) }
    at(LEAVE_AT + 5.seconds) { startedAt5Seconds = members.sumOf { it.startedWork } }
    at(RESTART_AT) {
        startedLate = members.sumOf { it.startedWork } - startedAt5Seconds
        if (!fault.isKill) members.forEach { it.engine.stop(RESTART_TIME) }
    }
    at(RETURN_AT) {
        members.forEach { it.isUnreachable = false }
        if (!fault.isKill) notify(fault, false)
    }
    return { startedLate }
}

/** Returns a function that gives the first zone's share of the requests started after [from]. */
private fun Simulation.shareOfFirstZone(from: Duration): () -> Double {
    val members = agents.filter { it.zone == zones.first() }
    var membersBefore = 0
    var allBefore = 0
    at(from) {
        membersBefore = members.sumOf { it.startedWork }
        allBefore = agents.sumOf { it.startedWork }
    }
    return {
        val all = agents.sumOf { it.startedWork } - allBefore
        (members.sumOf { it.startedWork } - membersBefore).toDouble() / all
    }
}

private fun FakeAgent.kill() {
    isUnreachable = true
    engine.stop(RETURN_AT - LEAVE_AT)
}

/**
 * Takes the first zone out of service or puts it back. Each process receives the notice after its
 * own random delay, which has a higher bound if only peers can deliver it.
 */
private fun Simulation.notify(fault: ZoneFault, draining: Boolean) {
    val zone = zones.first()
    val slowest = if (fault.isTableDown) NOTICE_BY_PEERS else NOTICE_BY_TABLE
    agents.filter { it.zone == zone }.forEach { agent ->
        clock.after(slowest * random.nextDouble()) { agent.isDraining = draining }
    }
    entries.forEach { entry ->
        clock.after(slowest * random.nextDouble()) { entry.setDraining(zone, draining) }
    }
}

internal fun coldStart(seed: Long): ScenarioResult {
    val variants = mapOf(OWN_VARIANT to AgentPolicy(), "no slow start" to noSlowStart)
    val cases = listOf(
        ColdStartCase("one engine at 1.0x", 1.0, replaced = 1),
        ColdStartCase("one engine at 1.0x, cold not reported", 1.0, 1, reportsCold = false),
        ColdStartCase("a zone's engines at 0.6x", 0.6, replaced = 4),
        ColdStartCase("a zone's engines at 1.0x", 1.0, replaced = 4),
        ColdStartCase("a zone's engines at 1.0x, cold not reported", 1.0, 4, reportsCold = false),
        ColdStartCase("warm engine goes cold at 0.6x", 0.6, 1, withoutRestart = true)
    )
    val runs = cases.flatMap { case ->
        variants.map { (variant, policy) -> Triple(variant, case, case.run(policy, seed)) }
    }
    val figures = runs.flatMap { (variant, case, run) ->
        val suffix = ", ${case.label}"
        val crashes = run.agents.sumOf { it.engine.crashes }.toDouble()
        listOf(
            run.startedAboveColdFigure(variant, suffix),
            Figure(variant, "engines that fell over$suffix", crashes, "", Target.AtMost(0.0)),
            run.measurements.refusedFigure(variant, suffix),
            run.measurements.firstTokenFigure(variant, suffix),
            Figure(variant, "goodput$suffix", run.goodputPerSecond(), "requests/s")
        )
    }
    return resultOf(
        figures,
        runs.filter { it.second == cases[3] }.map { (variant, _, run) ->
            run.goodputSeries(variant)
        }
    )
}

private data class ColdStartCase(
    val label: String,
    val load: Double,
    val replaced: Int,
    val reportsCold: Boolean = true,
    val withoutRestart: Boolean = false
) {
    fun run(policy: AgentPolicy, seed: Long): Simulation {
        val settings = SimulationSettings(
            requestsPerSecond = load * FULL_LOAD_REQUESTS_PER_SECOND,
            engine = { EngineSettings(reportsCold = reportsCold) },
            agentPolicy = policy
        )
        val run = Simulation(settings, seed)
        run.at(LEAVE_AT) {
            run.agents.filter { it.zone == run.zones.first() }.take(replaced).forEach {
                if (withoutRestart) it.engine.goCold() else it.engine.stop(RESTART_TIME)
            }
        }
        return run.run()
    }
}

private val noSlowStart = AgentPolicy(concurrency = { it.limits.maxConcurrency })

internal fun poison(seed: Long): ScenarioResult {
    val variants = mapOf(
        OWN_VARIANT to EntryPolicy(),
        "no quarantine" to EntryPolicy(hasQuarantine = false)
    )
    val runs = variants.mapValues { (_, policy) ->
        val settings = SimulationSettings(
            requestsPerSecond = 0.6 * FULL_LOAD_REQUESTS_PER_SECOND,
            entryPolicy = policy
        )
        val run = Simulation(settings, seed)
        val sender = settings.customers.first().copy(requestsPerSecond = 0.0)
        val prompt = Prompt(PrefixFingerprint("poison"), tokens = 100, poison = true)
        run.at(LEAVE_AT) { run.call(sender, prompt, RequestFingerprint(sender.name, "poison")) }
        run.run()
    }
    val figures = runs.flatMap { (variant, run) ->
        val crashes = run.agents.sumOf { it.engine.crashes }.toDouble()
        val others = run.settings.customers.drop(1).map { run.of(it.name) }
        listOf(
            Figure(variant, "engine crashes", crashes, "", Target.AtMost(2.0)),
            Figure(
                variant,
                "final refusals of others",
                others.sumOf {
                    it.refusedFinally
                } + 0.0,
                ""
            ),
            Figure(
                variant,
                "others cut and not answered",
                others.sumOf {
                    it.cutForGood
                } + 0.0,
                ""
            ),
            Figure(variant, "others refused", others.sumOf { it.refused } + 0.0, ""),
            Figure(variant, "goodput", run.goodputPerSecond(), "requests/s")
        )
    }
    return resultOf(figures, runs.map { (variant, run) -> run.goodputSeries(variant) })
}

private val LEAVE_AT: Duration = 10.seconds
private val RESTART_AT: Duration = 40.seconds
private val RETURN_AT: Duration = 50.seconds
private val SETTLED_AT: Duration = 70.seconds
private val RESTART_TIME: Duration = 5.seconds
private val NOTICE_BY_TABLE: Duration = 2.seconds
private val NOTICE_BY_PEERS: Duration = 3500.milliseconds
