package org.shallotplank.core.dissemination

import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.ConfigurationVersion

/** A simulated process, with what the oracle needs to know about its last start. */
internal class FuzzedProcess(val peer: Peer, random: Random) {
    private val dissemination = Dissemination(random = random)
    private val inbox = mutableListOf<(Instant) -> DisseminationEvent>()
    var state = dissemination.start(peer, Instant.fromEpochSeconds(0))
        private set

    /** Number of restarts; work that was scheduled in an earlier epoch is dropped. */
    var epoch = 0
        private set
    var isPaused = false
        private set

    /** Version that the table held when the process last started or resumed after a suspension. */
    private var versionAtStart = ConfigurationVersion.None
    private var outagesAtStart = 0

    fun restart(now: Instant, platform: FuzzedPlatform) {
        epoch++
        isPaused = false
        inbox.clear()
        state = dissemination.start(peer, now)
        noteStart(platform)
    }

    fun pause() {
        isPaused = true
    }

    /** Ends the pause and returns the events that arrived during it. */
    fun resume(now: Instant, platform: FuzzedPlatform): List<(Instant) -> DisseminationEvent> {
        isPaused = false
        if (now - state.timers.lastEventAt > PAUSE_LIMIT) noteStart(platform)
        return inbox.toList().also { inbox.clear() }
    }

    /** Applies an event, or queues it until the process is resumed. */
    fun handle(
        now: Instant,
        platform: FuzzedPlatform,
        event: (Instant) -> DisseminationEvent
    ): PersistentList<DisseminationEffect> {
        if (isPaused) {
            inbox += event
            return persistentListOf()
        }
        val step = dissemination.reduce(state, event(now))
        val before = state
        state = step.state
        Oracle.check(platform, before, state)
        checkCaughtUp(platform)
        return step.effects
    }

    private fun noteStart(platform: FuzzedPlatform) {
        versionAtStart = platform.version
        outagesAtStart = platform.outages + if (platform.isOut) -1 else 0
    }

    private fun checkCaughtUp(platform: FuzzedPlatform) {
        if (!state.isReady || platform.outages > outagesAtStart) return
        check(state.inForceVersion >= versionAtStart) {
            "${peer.id} is ready with ${state.inForceVersion}, $versionAtStart was accepted before"
        }
    }

    private companion object {
        val PAUSE_LIMIT = 3.seconds
    }
}

/** Invariants that hold after every event of every process. */
internal object Oracle {
    fun check(platform: FuzzedPlatform, before: DisseminationState, after: DisseminationState) {
        check(after.inForceVersion >= before.inForceVersion) {
            "${after.self.id} went back from ${before.inForceVersion} to ${after.inForceVersion}"
        }
        listOfNotNull(after.known, after.inForce).forEach {
            check(it == platform.manifest(it.version)) {
                "${after.self.id} holds version ${it.version}, which the table has not accepted"
            }
        }
    }
}
