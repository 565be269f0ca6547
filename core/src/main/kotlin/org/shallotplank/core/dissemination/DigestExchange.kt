package org.shallotplank.core.dissemination

import kotlin.random.Random
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.Step
import org.shallotplank.core.dissemination.DisseminationEffect.Send
import org.shallotplank.core.then

/**
 * Anti-entropy: periodically exchanges digests with a random peer.
 *
 * The exchange repairs manifests and notices that pushes failed to deliver.
 */
internal class DigestExchange(
    private val settings: DisseminationSettings,
    private val random: Random,
    private val notices: NoticeSpreading
) {
    /** Sends a digest to a random peer if one is due or the previous one timed out. */
    fun tick(state: DisseminationState, now: Instant): DisseminationStep {
        if (!isDue(state.timers, now)) return Step(state)
        val peer = state.links.all.randomOrNull(random) ?: return Step(state)
        val sendsLoads = now >= state.timers.nextLoadsAt && peer in state.links.peers
        val interval =
            if (state.isReady) settings.digestInterval else settings.digestInterval / CATCH_UP_SPEED
        val jitter = random.nextDouble(MIN_JITTER, MAX_JITTER)
        val timers = state.timers.copy(
            nextDigestAt = now + interval * jitter,
            openProbe = state.nextId,
            digestSentAt = now,
            nextLoadsAt = if (sendsLoads) now + settings.loadInterval else state.timers.nextLoadsAt
        )
        val loads = if (sendsLoads) state.loads.values.toPersistentList() else persistentListOf()
        val message = digest(state, probe = state.nextId, isReply = false, loads = loads)
        return Step(
            state.copy(nextId = state.nextId + 1, timers = timers),
            persistentListOf(Send(peer, message))
        )
    }

    private fun isDue(timers: Timers, now: Instant): Boolean {
        val isOverdue =
            timers.openProbe != null && now - timers.digestSentAt >= settings.digestTimeout
        return isOverdue || now >= timers.nextDigestAt
    }

    /** Answers a peer's digest, and requests or sends what the digests show as missing. */
    fun received(
        state: DisseminationState,
        from: InstanceId,
        digest: PeerMessage.Digest,
        now: Instant
    ): DisseminationStep =
        DisseminationStep(noteAnswer(mergeLoads(state, digest.loads), from, digest))
            .then { if (digest.isReply) DisseminationStep(it) else reply(it, from, digest) }
            .then {
                if (digest.version > it.knownVersion) {
                    requestManifest(it.noteReportedVersion(digest.version), from, settings, now)
                } else {
                    DisseminationStep(it)
                }
            }
            .then { notices.repair(it, from, digest.noticeHash) }

    private fun reply(
        state: DisseminationState,
        from: InstanceId,
        digest: PeerMessage.Digest
    ): DisseminationStep {
        val known = state.loads.values.toPersistentList()
        val loads = if (digest.loads.isEmpty()) persistentListOf() else known
        val message = digest(state, probe = digest.probe, isReply = true, loads = loads)
        return Step(state, persistentListOf(Send(from, message)))
    }

    private fun digest(
        state: DisseminationState,
        probe: Long,
        isReply: Boolean,
        loads: PersistentList<ZoneLoad>
    ) = PeerMessage.Digest(
        version = state.inForceVersion,
        noticeHash = state.noticeHash,
        probe = probe,
        isReply = isReply,
        loads = loads
    )

    /** Clears the open probe if [digest] answers it, and counts the answer for the catch-up. */
    private fun noteAnswer(
        state: DisseminationState,
        from: InstanceId,
        digest: PeerMessage.Digest
    ): DisseminationState {
        val timers = state.timers
        if (digest.isReply && digest.probe == timers.openProbe) {
            return countAnswer(state.copy(timers = timers.copy(openProbe = null)), from, digest)
        }
        return countAnswer(state, from, digest)
    }

    private fun countAnswer(
        state: DisseminationState,
        from: InstanceId,
        digest: PeerMessage.Digest
    ): DisseminationState {
        val catchUp = state.catchUp
        val isCurrent = digest.probe in catchUp.firstId until state.nextId
        val isAnswer = digest.isReply && isCurrent
        if (state.isReady || !isAnswer || digest.version == ConfigurationVersion.None) return state
        return state.copy(
            catchUp = catchUp.copy(
                peersAnswered = catchUp.peersAnswered.add(from),
                highestVersion = maxOf(catchUp.highestVersion, digest.version)
            )
        )
    }

    private fun mergeLoads(
        state: DisseminationState,
        loads: PersistentList<ZoneLoad>
    ): DisseminationState {
        val newer = loads.filter { load ->
            val known = state.loads[load.zone]
            known == null || known.measuredAtMillis < load.measuredAtMillis
        }
        if (newer.isEmpty()) return state
        return state.copy(loads = newer.fold(state.loads) { map, load -> map.put(load.zone, load) })
    }

    private companion object {
        /** Factor by which a process that is not ready sends digests more often. */
        const val CATCH_UP_SPEED = 4
        const val MIN_JITTER = 0.75
        const val MAX_JITTER = 1.25
    }
}
