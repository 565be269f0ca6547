package org.shallotplank.core.dissemination

import kotlin.random.Random
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.InstanceId
import org.shallotplank.core.Step
import org.shallotplank.core.dissemination.DisseminationEffect.NoticesLearned
import org.shallotplank.core.dissemination.DisseminationEffect.Send
import org.shallotplank.core.mix
import org.shallotplank.core.stableHash

/** Replicates notices between peers as a grow-only set whose elements expire. */
internal class NoticeSpreading(
    private val settings: DisseminationSettings,
    private val random: Random
) {
    /** Adds [notices] and pushes those that are new to this process to peers. */
    fun learn(
        state: DisseminationState,
        notices: List<Notice>,
        from: InstanceId?,
        now: Instant
    ): DisseminationStep {
        val fresh = notices.filter { isNew(state, it, now) }
        if (fresh.isEmpty()) return Step(state)
        val merged = fresh.fold(state.notices) { map, notice -> map.put(notice.key, notice) }
        val targets = state.links.all.filter { it != from }.shuffled(random)
        val isPassedOn = from == null || settings.forwardsPushes
        val fanout = if (isPassedOn) settings.pushFanout else 0
        val sends = targets.take(fanout).flatMap { messages(it, fresh) }
        val learned = NoticesLearned(fresh.toPersistentList())
        return Step(
            withNotices(state, bounded(merged)),
            (listOf(learned) + sends).toPersistentList()
        )
    }

    /** Removes expired notices. */
    fun expire(state: DisseminationState, now: Instant): DisseminationState {
        val expired = state.notices.filterValues { it.expiresAt <= now }.keys
        if (expired.isEmpty()) return state
        return withNotices(state, expired.fold(state.notices) { map, key -> map.remove(key) })
    }

    /**
     * Sends notices to a process whose hash of notices differs.
     *
     * A process without notices gets all of them, any other a random sample.
     */
    fun repair(state: DisseminationState, to: InstanceId, peerHash: Long): DisseminationStep {
        if (peerHash == state.noticeHash || state.notices.isEmpty()) return Step(state)
        val all = state.notices.values
        val chosen = if (peerHash == EMPTY_HASH) {
            all.toList()
        } else {
            all.shuffled(random).take(settings.maxNoticesPerMessage)
        }
        return Step(state, messages(to, chosen).toPersistentList())
    }

    private fun isNew(state: DisseminationState, notice: Notice, now: Instant): Boolean {
        val known = state.notices[notice.key]
        return notice.expiresAt > now && (known == null || known.expiresAt < notice.expiresAt)
    }

    private fun bounded(notices: PersistentMap<String, Notice>): PersistentMap<String, Notice> {
        val excess = notices.size - settings.maxNotices
        if (excess <= 0) return notices
        val dropped = notices.values.sortedBy { it.expiresAt }.take(excess)
        return dropped.fold(notices) { map, notice -> map.remove(notice.key) }
    }

    private fun withNotices(
        state: DisseminationState,
        notices: PersistentMap<String, Notice>
    ): DisseminationState = state.copy(
        notices = notices,
        noticeHash = notices.values.fold(EMPTY_HASH) { sum, notice -> sum + hash(notice) }
    )

    private fun messages(to: InstanceId, notices: List<Notice>): List<Send> =
        notices.chunked(settings.maxNoticesPerMessage)
            .map { Send(to, PeerMessage.Notices(it.toPersistentList())) }

    private companion object {
        const val EMPTY_HASH = 0L

        fun hash(notice: Notice): Long =
            mix(stableHash(notice.key) + notice.expiresAt.toEpochMilliseconds())
    }
}
