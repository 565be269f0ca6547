package org.shallotplank.core.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet

/**
 * A crash of an upstream and the prompt parts of the requests that were lost in it.
 *
 * @property upstream the incarnation that crashed; entries that lost requests in the same crash
 *   report the same value.
 * @property parts parts of the lost requests, each of which may have caused the crash.
 * @property establishedParts those of [parts] that were known to be harmless before the crash.
 */
public data class PromptCrash(
    val upstream: String,
    val at: Instant,
    val parts: PersistentSet<PromptPart>,
    val establishedParts: PersistentSet<PromptPart> = persistentSetOf()
) {
    internal fun merge(other: PromptCrash): PromptCrash {
        val all = parts.addAll(other.parts)
        return copy(
            parts = if (all.size <= MAX_PARTS) all else parts,
            establishedParts = establishedParts.addAll(other.establishedParts)
        )
    }

    private companion object {
        /** Bounds the memory of one crash; more than an upstream runs requests at once. */
        const val MAX_PARTS = 256
    }
}

/**
 * Attributes crashes of upstreams to parts of prompts, and decides which parts are refused.
 *
 * Requests that differ in everything but one part cannot be recognized by their content as a whole,
 * as [Quarantine] does. A crash counts against every part of the requests that were lost in it,
 * until a request with the part has been answered. Of the parts that could explain the same
 * crashes, only the one that explains most of them is refused, so that requests which share another
 * part with the harmful ones are still served.
 *
 * Entries exchange [reported] crashes and [merge] them; the result does not depend on order or
 * repetition.
 *
 * @property crashes the latest crashes by upstream.
 * @property history what is known of parts, those with the latest answers last.
 * @property refused parts that are refused.
 * @property revision increases with each change that other entries should learn.
 */
public data class PartQuarantine(
    val crashes: PersistentMap<String, PromptCrash> = persistentMapOf(),
    val history: PersistentMap<PromptPart, PartHistory> = persistentMapOf(),
    val refused: PersistentSet<PromptPart> = persistentSetOf(),
    val revision: Long = 0,
    val timeToLive: Duration = 30.minutes
) {
    /** Returns a part of [parts] that is refused, null if there is none. */
    public fun refusedPart(parts: Set<PromptPart>): PromptPart? =
        if (refused.isEmpty()) null else parts.firstOrNull { it in refused }

    /** Records that an upstream may have run a request with [parts]. */
    public fun ran(parts: Set<PromptPart>): PartQuarantine =
        withHistory(parts) { it.copy(runsSinceAnswer = it.runsSinceAnswer + 1) }

    /** Records that an upstream answered a request with [parts], which clears them. */
    public fun answered(parts: Set<PromptPart>, now: Instant): PartQuarantine {
        val isNews = crashes.values.any { crash -> parts.any { isSuspect(it, crash) } }
        val answered = withHistory(parts) { PartHistory(answeredAt = now, runsSinceAnswer = 0) }
        return if (isNews) answered.copy(revision = revision + 1).attributed() else answered
    }

    /** Records [crash], or merges what another entry reports of it. */
    public fun merge(crash: PromptCrash): PartQuarantine {
        val known = crashes[crash.upstream]
        val marked = crash.copy(
            establishedParts = crash.establishedParts.addAll(crash.parts.filter(::isEstablished))
        )
        val merged = known?.merge(marked) ?: marked
        if (merged.parts.isEmpty() || merged == known) return this
        val all = crashes.put(crash.upstream, merged)
        // By time, since entries that dropped different crashes would report them without end.
        val dropped = all.values.minBy { it.at }.upstream.takeIf { all.size > MAX_CRASHES }
        if (dropped == crash.upstream) return this
        val kept = dropped?.let(all::remove) ?: all
        return copy(crashes = kept, revision = revision + 1).attributed()
    }

    /** The crashes as other entries should learn them, without the parts that were cleared. */
    public val reported: List<PromptCrash>
        get() = crashes.values.map { crash ->
            val suspects = crash.parts.filter { isSuspect(it, crash) }.toPersistentSet()
            crash.copy(
                parts = suspects,
                establishedParts = crash.establishedParts.retainAll(suspects)
            )
        }.filter { it.parts.isNotEmpty() }

    /** Drops the crashes that have expired at [now]. */
    public fun expire(now: Instant): PartQuarantine {
        val expired = crashes.filterValues { now - it.at >= timeToLive }.keys
        if (expired.isEmpty()) return this
        return copy(crashes = crashes.mutate { it.keys.removeAll(expired) }).attributed()
    }

    private fun isEstablished(part: PromptPart): Boolean = history[part]?.answeredAt != null

    private fun isSuspect(part: PromptPart, crash: PromptCrash): Boolean {
        val answeredAt = history[part]?.answeredAt
        return part in crash.parts && (answeredAt == null || answeredAt <= crash.at)
    }

    /**
     * Determines the refused parts again.
     *
     * The part that explains most crashes comes first. Crashes that it explains do not count
     * against other parts.
     */
    private fun attributed(): PartQuarantine {
        var unexplained = crashes.values.toList()
        var attributedParts = persistentSetOf<PromptPart>()
        while (true) {
            val culprit = culpritOf(unexplained) ?: break
            attributedParts = attributedParts.add(culprit)
            unexplained = unexplained.filterNot { isSuspect(culprit, it) }
        }
        return copy(refused = attributedParts)
    }

    private fun culpritOf(unexplained: List<PromptCrash>): PromptPart? = unexplained
        .flatMap { crash -> crash.parts.filter { isSuspect(it, crash) } }
        .distinct()
        .map { part -> part to unexplained.filter { isSuspect(part, it) } }
        .filter { (part, suspected) -> isCulprit(part, suspected) }
        .maxWithOrNull(
            compareBy<Pair<PromptPart, List<PromptCrash>>> { (_, suspected) -> suspected.size }
                .thenByDescending { (part, _) -> history[part]?.runsSinceAnswer ?: 0 }
                .thenBy { (part, _) -> part.value }
        )?.first

    private fun isCulprit(part: PromptPart, suspected: List<PromptCrash>): Boolean {
        val occasions = occasionsOf(suspected)
        val isEstablished = suspected.any { part in it.establishedParts }
        val needed = if (isEstablished) CRASHES_OF_ESTABLISHED_PART else CRASHES_TO_QUARANTINE
        val runs = history[part]?.runsSinceAnswer ?: 0
        return occasions >= needed && runs <= suspected.size * MAX_RUNS_PER_CRASH
    }

    /** Number of [suspected] crashes, of which those at about the same time count as one. */
    private fun occasionsOf(suspected: List<PromptCrash>): Int {
        var count = 0
        var last = Instant.DISTANT_PAST
        for (crash in suspected.sortedBy { it.at }) {
            if (crash.at - last < MIN_CRASH_DISTANCE) continue
            count++
            last = crash.at
        }
        return count
    }

    private fun withHistory(
        parts: Set<PromptPart>,
        change: (PartHistory) -> PartHistory
    ): PartQuarantine {
        if (parts.isEmpty()) return this
        val changed = history.mutate { map ->
            for (part in parts) {
                // Removed and added again, so that the part comes last.
                val known = map.remove(part) ?: PartHistory()
                map[part] = change(known)
            }
            while (map.size > MAX_HISTORY) map.remove(map.keys.first())
        }
        return copy(history = changed)
    }

    private companion object {
        /** A part that was harmless before is more likely to have been in a crash by chance. */
        const val CRASHES_OF_ESTABLISHED_PART = 3 * CRASHES_TO_QUARANTINE

        /** Many requests are lost at the same time if a machine or a group of engines goes down. */
        val MIN_CRASH_DISTANCE = 500.milliseconds

        /** A part that ran much more often than upstreams crashed did not cause the crashes. */
        const val MAX_RUNS_PER_CRASH = 4
        const val MAX_CRASHES = 64

        /** Parts that are remembered, about as many as recur within some minutes. */
        const val MAX_HISTORY = 2_048
    }
}

/**
 * What is known of one part of prompts.
 *
 * @property answeredAt when a request with it was last answered, null if never.
 * @property runsSinceAnswer attempts with it since then that an upstream may have run.
 */
public data class PartHistory(val answeredAt: Instant? = null, val runsSinceAnswer: Int = 0)
