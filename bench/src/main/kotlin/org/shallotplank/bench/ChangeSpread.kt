package org.shallotplank.bench

import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Measures the time until a change is in force at all members, and the reads that it causes. */
internal fun changeSpread(seed: Long): ScenarioResult {
    val runs = LOSS_PERCENTS.flatMap { loss -> MEMBER_COUNTS.map { spread(it, loss, seed) } }
    val series = runs.groupBy { it.lossPercent }.map { (loss, points) ->
        Series(
            variant = "$loss% of messages lost",
            xLabel = "members",
            yLabel = "seconds until in force everywhere",
            points = points.map { Point(it.members.toDouble(), it.slowestSeconds) }
                .toPersistentList()
        )
    }
    return ScenarioResult(
        runs.flatMap {
            it.figures()
        }.toPersistentList(),
        series.toPersistentList()
    )
}

private fun spread(members: Int, lossPercent: Int, seed: Long): SpreadRun {
    val loop = DisseminationLoop(SyntheticSystem(members), lossPercent / PERCENT, seed)
    val counts = loop.counts
    val readsBefore = counts.tableReads
    val objectsBefore = counts.objectReads
    val seconds = List(CHANGES) { loop.timeUntilInForce().toDouble(DurationUnit.SECONDS) }
    val elapsedSeconds = DisseminationLoop.CHANGE_INTERVAL.inWholeSeconds * CHANGES
    return SpreadRun(
        members = members,
        lossPercent = lossPercent,
        slowestSeconds = seconds.max(),
        tableReadsPerSecond = (counts.tableReads - readsBefore).toDouble() / elapsedSeconds,
        objectReadsPerChange = (counts.objectReads - objectsBefore).toDouble() / CHANGES,
        startReads = readsBefore,
        startSeconds = loop.startDuration.toDouble(DurationUnit.SECONDS)
    )
}

/** Results of one [DisseminationLoop] with several changes. */
private class SpreadRun(
    val members: Int,
    val lossPercent: Int,
    val slowestSeconds: Double,
    val tableReadsPerSecond: Double,
    val objectReadsPerChange: Double,
    val startReads: Long,
    val startSeconds: Double
) {
    fun figures(): PersistentList<Figure> = listOf(
        figure(
            "slowest change in force everywhere, of $CHANGES",
            slowestSeconds,
            "s",
            Target.AtMost(StatedSize.CHANGE_SECONDS)
        ),
        figure(
            "table reads of all members",
            tableReadsPerSecond,
            "1/s",
            Target.AtMost(StatedSize.TABLE_READS_PER_SECOND)
        ),
        figure("object store reads per change", objectReadsPerChange, "reads"),
        figure("table reads while all members start at once", startReads.toDouble(), "reads"),
        figure("all members ready after all start at once", startSeconds, "s")
    ).toPersistentList()

    private fun figure(name: String, value: Double, unit: String, target: Target? = null) =
        Figure("$members members, $lossPercent% lost", name, value, unit, target)
}

internal val MEMBER_COUNTS = listOf(10, 100, 1_000, StatedSize.MEMBERS)
private val LOSS_PERCENTS = listOf(0, 1, 10)
private const val CHANGES = 5
private const val PERCENT = 100.0
