package org.shallotplank.gateway.retention

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.quarantine.PartQuarantine
import org.shallotplank.core.quarantine.PromptCrash

/**
 * Crashes of upstreams with the prompt parts that may have caused them, in the rows of all entries.
 *
 * An entry retains the crashes in which it lost requests. Parts that it knows to be harmless by now
 * are left out.
 *
 * @param known the quarantine as of now.
 * @param onLearned called with the crashes that change [known].
 */
internal class RetainedPromptCrashes(
    private val known: () -> PartQuarantine,
    private val onLearned: (List<PromptCrash>) -> Unit
) {
    private val own = LinkedHashSet<String>()
    private var checked: PartQuarantine? = null
    private var written: List<PromptCrash> = emptyList()

    val timeToLive: Duration get() = known().timeToLive

    /** The crashes to retain. */
    val crashes: List<PromptCrash>
        get() = known().reported.filter { it.upstream in own }
            .sortedByDescending { it.at }
            .take(MAX_CRASHES)
            .map { it.withFewerParts() }

    /** Retains the crash of [upstream], which this entry observed. */
    fun add(upstream: String): WriteUrgency {
        own += upstream
        return WriteUrgency.IMMEDIATE
    }

    /** Reads crashes in the row of another entry. */
    fun read(crashes: List<RetainedPromptCrash>, times: StoreTimes) {
        val valid = crashes.map { it.toCrash(times) }.filterNot { times.isPast(it.at + timeToLive) }
        val news = valid.filter { known().merge(it).revision != known().revision }
        if (news.isNotEmpty()) onLearned(news)
    }

    /** Reads the crashes in the row that this entry wrote. */
    fun readOwn(crashes: List<RetainedPromptCrash>, times: StoreTimes) {
        own += crashes.map { it.upstream }
        read(crashes, times)
    }

    /** Returns how soon to write what has become known of the own crashes. */
    fun change(): WriteUrgency {
        val present = known()
        if (own.isEmpty() || present === checked) return WriteUrgency.NONE
        if (present.revision == checked?.revision && present.crashes === checked?.crashes) {
            return WriteUrgency.NONE
        }
        checked = present
        own.retainAll(present.crashes.keys)
        return if (crashes == written) WriteUrgency.NONE else WriteUrgency.DEFERRED
    }

    /** The crashes to retain, which count as written from now on. */
    fun takeChanged(): List<PromptCrash> = crashes.also { written = it }

    private fun PromptCrash.withFewerParts(): PromptCrash {
        if (parts.size <= MAX_PARTS) return this
        val kept = parts.sortedBy { it in establishedParts }.take(MAX_PARTS).toPersistentSet()
        return copy(parts = kept, establishedParts = establishedParts.retainAll(kept))
    }

    private companion object {
        /** Bounds a row; several times the crashes after which a part is refused. */
        const val MAX_CRASHES = 8

        /** Bounds a row; about as many as the requests of one entry that a crash ends have. */
        const val MAX_PARTS = 32
    }
}
