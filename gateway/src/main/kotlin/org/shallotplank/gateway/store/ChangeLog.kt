package org.shallotplank.gateway.store

import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Changes that bring a copy of [from], or of any later revision, to the one of [changes]. */
public class ChangeBatch(public val from: StoreRevision, public val changes: TableChanges)

/**
 * The latest changes of a copy, for those that take them from it.
 *
 * The batches follow on each other without gaps.
 */
public class ChangeLog(private val clock: Clock) {
    private val entries = ArrayDeque<Pair<Instant, ChangeBatch>>()

    /** The batches of the last [PERIOD], oldest first. */
    public val batches: List<ChangeBatch>
        get() {
            expire()
            return entries.map { it.second }
        }

    internal fun add(batch: ChangeBatch) {
        if (batch.changes.revision > batch.from) entries += clock.now() to batch
        expire()
        var size = entries.sumOf { it.second.size }
        while (size > MAX_CHARS) size -= entries.removeFirst().second.size
    }

    /** Forgets all batches, after the copy was replaced as a whole. */
    internal fun clear() = entries.clear()

    private fun expire() {
        val now = clock.now()
        while (entries.isNotEmpty() && now - entries.first().first > PERIOD) entries.removeFirst()
    }

    private val ChangeBatch.size: Int
        get() = changes.inOrder.sumOf { if (it is RowChange.Written) it.row.value.length else 0 }

    private companion object {
        /** Several intervals of exchanges; who comes later reads the whole table. */
        val PERIOD = 1_500.milliseconds

        /** Bounds an answer; a copy of the whole table is then smaller. */
        const val MAX_CHARS = 65_536
    }
}
