package org.shallotplank.core.dissemination

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Label
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.Action
import net.jqwik.api.state.ActionChain
import net.jqwik.api.state.Transformer

/** Runs [Dissemination] in eight processes under random faults and checks their state. */
class DisseminationFuzz {
    @Property(tries = 150, seed = "20261204")
    @Label("versions never go back and all processes agree after healing")
    fun agreement(@ForAll("faults") chain: ActionChain<FuzzedProcessesRun>) {
        val run = chain.run()
        run.heal()
        run.checkAgreement()
    }

    @Property(tries = 150, seed = "20261205")
    @Label("a version in force anywhere survives a table outage")
    fun survival(@ForAll("faults") chain: ActionChain<FuzzedProcessesRun>) {
        val run = chain.run()
        run.healExceptPlatform()
        run.checkSurvival()
    }

    @Provide
    fun faults(): Arbitrary<ActionChain<FuzzedProcessesRun>> {
        val seeds = Arbitraries.longs()
        return seeds.flatMap { seed ->
            ActionChain.startWith { FuzzedProcessesRun(seed) }
                .withAction(4, action("publish", 0..5) { publish(it) })
                .withAction(2, action("race", 0..5) { race(it) })
                .withAction(6, action("run millis", 50..6000) { loop.runFor(it.milliseconds) })
                .withAction(1, action("platform out", 0..2) { setOutage(it > 0) })
                .withAction(1, action("lose answers", 1..10) { loop.platform.answersToLose = it })
                .withAction(1, action("lose messages %", 0..60) { lose(it) })
                .withAction(1, action("duplicate messages %", 0..60) { duplicate(it) })
                .withAction(1, action("delay messages millis", 5..5000) { delay(it) })
                .withAction(1, action("cut regions", 0..1) { cutRegions(it > 0) })
                .withAction(1, action("mute process", 0..7) { mute(it) })
                .withAction(2, action("pause process", 0..7) { loop.processes[it].pause() })
                .withAction(2, action("resume process", 0..7) { loop.resume(it) })
                .withAction(2, action("restart process", 0..7) { loop.restart(it) })
                .withAction(1, action("notice", 0..7) { notice(it) })
                .withMaxTransformations(40)
        }
    }

    private fun action(
        name: String,
        range: IntRange,
        apply: FuzzedProcessesRun.(Int) -> Unit
    ): Action.Independent<FuzzedProcessesRun> = object : Action.Independent<FuzzedProcessesRun> {
        override fun transformer(): Arbitrary<Transformer<FuzzedProcessesRun>> =
            Arbitraries.integers().between(range.first, range.last).map { argument ->
                Transformer.mutate("$name $argument") { it.apply(argument) }
            }
    }
}

/** A simulation of processes, with the actions of operators and the faults to inject. */
class FuzzedProcessesRun(seed: Long) {
    internal val loop = FuzzedProcesses(seed)
    private var changes = 0

    internal fun publish(section: Int) {
        val platform = loop.platform
        platform.write(platform.prepare(platform.version, section, "content ${changes++}"))
    }

    /** Two operators change the same version concurrently; the table accepts at most one. */
    internal fun race(section: Int) {
        val platform = loop.platform
        val base = platform.version
        val first = platform.prepare(base, section, "content ${changes++}")
        val second = platform.prepare(base, section + 1, "content ${changes++}")
        platform.write(second)
        platform.write(first)
    }

    internal fun setOutage(isOut: Boolean) = loop.platform.setOutage(isOut)

    internal fun lose(percent: Int) {
        loop.network = loop.network.copy(lossShare = percent / PERCENT)
    }

    internal fun duplicate(percent: Int) {
        loop.network = loop.network.copy(duplicateShare = percent / PERCENT)
    }

    internal fun delay(millis: Int) {
        loop.network = loop.network.copy(maxDelay = millis.milliseconds)
    }

    internal fun cutRegions(isCut: Boolean) {
        loop.network = loop.network.copy(areRegionsCut = isCut)
    }

    internal fun mute(index: Int) {
        val id = loop.processes[index].peer.id
        loop.network = loop.network.copy(mute = loop.network.mute + id)
    }

    internal fun notice(index: Int) {
        val expiresAt = loop.now + 10.minutes
        loop.raise(index, crashNotice("fingerprint ${changes++}", expiresAt))
    }

    internal fun heal() {
        loop.platform.setOutage(false)
        loop.platform.answersToLose = 0
        healExceptPlatform()
    }

    internal fun healExceptPlatform() {
        loop.network = NetworkFaults()
        loop.processes.indices.forEach { loop.resume(it) }
    }

    internal fun checkAgreement() {
        loop.runFor(AGREEMENT)
        loop.processes.forEach {
            check(it.state.inForceVersion == loop.platform.version && it.hasCaughtUp()) {
                "${it.peer.id} has ${it.state.inForceVersion} in force (ready " +
                    "${it.state.isReady}), but the table holds ${loop.platform.version}"
            }
        }
        val noticeSets = loop.processes.map { it.state.notices.keys }.toSet()
        check(noticeSets.size == 1) { "notices differ: $noticeSets" }
    }

    internal fun checkSurvival() {
        loop.platform.setOutage(true)
        val highest = loop.processes.maxOf { it.state.inForceVersion }
        loop.runFor(AGREEMENT)
        loop.processes.forEach {
            val waitsForSections = it.state.knownVersion > highest
            check(it.state.inForceVersion >= highest || waitsForSections) {
                "${it.peer.id} has ${it.state.inForceVersion} in force, others had $highest"
            }
        }
    }

    private fun FuzzedProcess.hasCaughtUp(): Boolean =
        state.isReady || loop.platform.accepted.isEmpty()

    private companion object {
        const val PERCENT = 100.0
        val AGREEMENT = 8.seconds
    }
}
