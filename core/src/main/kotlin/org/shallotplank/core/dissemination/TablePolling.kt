package org.shallotplank.core.dissemination

import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Step

/**
 * Polls the manifest's key so that all processes together read at a fixed rate.
 *
 * The intervals between reads are drawn from an exponential distribution, which spreads the reads
 * of many processes evenly even if all of them started at the same time.
 */
internal class TablePolling(
    private val settings: DisseminationSettings,
    private val random: Random
) {
    /** Reads the manifest's key if a read is due, and draws the next interval. */
    fun tick(state: DisseminationState, now: Instant): DisseminationStep {
        if (now < dueAt(state, now)) return Step(state)
        val timers = state.timers.copy(
            lastReadAt = now,
            readWaitFactor = -ln(1 - random.nextDouble())
        )
        return Step(
            state.copy(nextId = state.nextId + 1, timers = timers),
            persistentListOf(DisseminationEffect.ReadTable(state.nextId))
        )
    }

    /** Handles the result of a read; for the catch-up, only reads since its start count. */
    fun answered(
        state: DisseminationState,
        event: DisseminationEvent.TableRead
    ): DisseminationStep {
        val isCurrent = event.readId in state.catchUp.firstId until state.nextId
        val isAvailable = event.result != TableReadResult.Unavailable
        val catchUp = state.catchUp.copy(
            tableAnswered = state.catchUp.tableAnswered || isCurrent && isAvailable,
            tableFailed = state.catchUp.tableFailed || isCurrent && !isAvailable
        )
        val next = state.copy(catchUp = catchUp)
        return when (val result = event.result) {
            is TableReadResult.Found -> Step(next.learn(result.manifest, from = null))
            TableReadResult.Unchanged -> Step(next)
            TableReadResult.Unavailable -> Step(next)
        }
    }

    private fun dueAt(state: DisseminationState, now: Instant): Instant {
        val lastReadAt = state.timers.lastReadAt ?: return now
        val factor = state.timers.readWaitFactor
        return if (dependsOnTable(state, now)) {
            val wait = averageInterval(state, settings.urgentReadsPerSecond)
                .coerceAtLeast(settings.minUrgentReadInterval)
            lastReadAt + wait * factor.coerceIn(MIN_URGENT_FACTOR, MAX_URGENT_FACTOR)
        } else {
            val wait = averageInterval(state, settings.tableReadsPerSecond)
                .coerceAtLeast(settings.minReadInterval)
            lastReadAt + wait * factor
        }
    }

    /**
     * Whether this process needs the table for new versions, and reads it at the urgent rate.
     *
     * It does while it is isolated, or is catching up and has not read the table yet.
     */
    private fun dependsOnTable(state: DisseminationState, now: Instant): Boolean {
        val lastContactAt = state.links.lastContactAt
        val isIsolated = lastContactAt == null || now - lastContactAt > settings.isolationTimeout
        return isIsolated || !state.isReady && !state.catchUp.tableAnswered
    }

    /** Average interval between the reads of one process if all together make [readsPerSecond]. */
    private fun averageInterval(state: DisseminationState, readsPerSecond: Double): Duration =
        (state.links.memberCount / readsPerSecond).seconds

    private companion object {
        const val MIN_URGENT_FACTOR = 0.5
        const val MAX_URGENT_FACTOR = 1.5
    }
}
