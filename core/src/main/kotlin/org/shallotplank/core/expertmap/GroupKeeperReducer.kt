package org.shallotplank.core.expertmap

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.then

/** Returns the state of the keeper after [event], which happened at [now], and its effects. */
public fun GroupKeeper.on(event: GroupKeeperEvent, now: Instant): GroupKeeperStep = when (event) {
    is GroupKeeperEvent.Reported -> onReported(event, now).then { it.planIfChanged(now) }
    is GroupKeeperEvent.Counted ->
        onCounted(event, now).concludeSwitch(now).then { it.planIfChanged(now) }
    is GroupKeeperEvent.Listed -> onListed(event, now)
    is GroupKeeperEvent.Answered -> onAnswered(event, now)
    is GroupKeeperEvent.PausesObserved -> Step(copy(pauses = event.pauses))
    is GroupKeeperEvent.PlanningChanged -> Step(copy(mayPlan = event.isAllowed))
    GroupKeeperEvent.Tick -> onTick(now)
}

private fun GroupKeeper.onReported(
    event: GroupKeeperEvent.Reported,
    now: Instant
): GroupKeeperStep {
    val report = event.report
    if (report.epoch < epoch) return Step(this)
    if (report.epoch > epoch || !report.isFormed) return restartSurvey(report.epoch, now)
    val updated = copy(
        reports = reports.put(event.rank, ReceivedReport(report, now)),
        latestStep = maxOf(latestStep, report.step)
    )
    return when (val current = stage) {
        is KeeperStage.Surveying -> updated.concludeSurvey(current, now)
        is KeeperStage.Settled -> updated.checkNothingHeld(report, now)
        is KeeperStage.Switching ->
            updated.releaseAgain(current, event.rank, report, now).then { it.concludeSwitch(now) }
        is KeeperStage.Preparing ->
            if (report.preparedVersion == current.version) {
                updated.onPrepared(current, event.rank, now)
            } else {
                Step(updated)
            }
        else -> Step(updated)
    }
}

/** Surveys the group again after it was re-formed, or when it is about to be. */
private fun GroupKeeper.restartSurvey(newEpoch: Long, now: Instant): GroupKeeperStep {
    if (stage is KeeperStage.Surveying && newEpoch == epoch) return Step(this)
    val record = logRecord(
        LogEvent.GROUP_FORMED_ANEW,
        "group" to group,
        "epoch" to newEpoch,
        "before" to epoch,
        "stage" to stageName()
    )
    val restarted = copy(
        epoch = newEpoch,
        stage = KeeperStage.Surveying(now),
        reports = persistentMapOf(),
        counts = persistentMapOf(),
        latestStep = 0,
        pace = StepPace(),
        mapStep = 0,
        map = null,
        hasSuperseded = false,
        usedStep = 0
    )
    return Step(restarted, effects(GroupKeeperEffect.Log(record)))
}

/**
 * Chooses the next stage once the report of every rank is recent enough to reflect all orders that
 * were given before the survey.
 */
private fun GroupKeeper.concludeSurvey(
    survey: KeeperStage.Surveying,
    now: Instant
): GroupKeeperStep {
    val recent = allRanks.map { rank ->
        reports[rank]?.takeIf { it.at >= survey.since + it.report.maxAge }?.report
            ?: return Step(this)
    }
    if (!settings.areFencesChecked) return concludeUnfencedSurvey(recent, now)
    val held = recent.withIndex().filter { it.value.heldStep != null }
    val areNoneArmed = recent.all { it.armed == null }
    return when {
        held.isNotEmpty() && isDisarmed && areNoneArmed -> letGo(recent, now)
        held.isNotEmpty() -> undo(recent, now)
        else -> findMap(recent, now)
    }
}

/** Decides by what the group's state shows of the orders that may still arrive. */
private fun GroupKeeper.concludeUnfencedSurvey(
    recent: List<RankReport>,
    now: Instant
): GroupKeeperStep {
    val held = recent.count { it.heldStep != null }
    val armed = recent.mapNotNull { it.armed }
    val areAllArmed = armed.size == ranks && armed.distinct().size == 1
    val last = recent.maxOf { maxOf(it.step + MAX_LEAD_STEPS, it.heldStep ?: 0) }
    val surveyed = copy(usedStep = maxOf(usedStep, last))
    return when {
        armed.isEmpty() || (areAllArmed && held == 0) -> surveyed.findMap(recent, now)
        // The release that completes the change may have been sent already.
        areAllArmed && held < ranks -> surveyed.letGo(recent, now)
        else -> surveyed.holdAndUndo(recent, now)
    }
}

/** Releases the steps that are held in [reports]. */
private fun GroupKeeper.letGo(reports: List<RankReport>, now: Instant): GroupKeeperStep {
    val steps = reports.withIndex()
        .mapNotNull { (rank, report) -> report.heldStep?.let { rank to it } }
        .toMap()
    return enter(KeeperStage.LettingGo(steps.toPersistentMap()), now)
}

/** Finds the map in use once no change is in progress. */
private fun GroupKeeper.findMap(recent: List<RankReport>, now: Instant): GroupKeeperStep {
    // Ranks are armed but none is held: all ranks are armed, and the switch is in progress.
    val isSwitching = recent.any { it.armed != null }
    return when {
        isSwitching || recent.map { it.mapVersion }.distinct().size > 1 ->
            enter(KeeperStage.Surveying(now), now)
        recent.first().mapVersion == 0L -> {
            val initial = GroupMap.initial(placement.layers, ranks, placement.expertsPerLayer)
            copy(map = initial).settle(now)
        }
        else -> enter(KeeperStage.ReadingMap(askedAt = now), now)
    }
}

/** Ends the survey, once ranks refuse the orders of earlier keepers that may still arrive. */
private fun GroupKeeper.settle(now: Instant): GroupKeeperStep {
    val current = map
    if (settings.areFencesChecked || current == null) return enter(KeeperStage.Settled, now)
    if (!hasSuperseded) {
        val version = nextVersion()
        val superseding = KeeperStage.Superseding(version, current)
        return copy(lastVersion = version).enter(superseding, now)
    }
    val latest = allRanks.mapNotNull { reports[it]?.report }
    val isHeld = latest.any { it.heldStep != null }
    return if (isHeld) letGo(latest, now) else enter(KeeperStage.Settled, now)
}

/** Makes all ranks refuse earlier orders that may still arrive, starting with the held ranks. */
private fun GroupKeeper.undo(reports: List<RankReport>, now: Instant): GroupKeeperStep {
    val unused = nextVersion()
    val versions = reports.withIndex().associate { (rank, report) ->
        rank to (report.armed?.version ?: unused)
    }
    val steps = reports.withIndex()
        .mapNotNull { (rank, report) -> report.heldStep?.let { rank to it } }
        .toMap()
    val undoing = KeeperStage.Undoing(versions.toPersistentMap(), steps.toPersistentMap())
    return copy(fence = fence + 1, lastVersion = unused).enter(undoing, now)
}

/** Holds the step at all ranks that hold none, then disarms those that are armed. */
private fun GroupKeeper.holdAndUndo(reports: List<RankReport>, now: Instant): GroupKeeperStep {
    val step = reports.mapNotNull { it.heldStep }.minOrNull()
        ?: reports.mapNotNull { it.armed?.step }.min()
    val versions = reports.withIndex()
        .mapNotNull { (rank, report) -> report.armed?.let { rank to it.version } }
        .toMap()
    val steps = reports.withIndex().filter { it.value.heldStep == null }
        .associate { it.index to step }
    val undoing = KeeperStage.Undoing(versions.toPersistentMap(), steps.toPersistentMap())
    return copy(fence = fence + 1, hasSuperseded = false).enter(undoing, now)
}

/**
 * Surveys the group again if a rank is held or armed while no change is in progress; ignores
 * reports from before the last switch.
 */
private fun GroupKeeper.checkNothingHeld(report: RankReport, now: Instant): GroupKeeperStep {
    val isFree = report.heldStep == null && report.armed == null
    val isExpected = isFree || report.step < mapStep
    return if (isExpected) Step(this) else enter(KeeperStage.Surveying(now), now)
}

private fun GroupKeeper.onPrepared(
    preparing: KeeperStage.Preparing,
    rank: Int,
    now: Instant
): GroupKeeperStep {
    val next = preparing.copy(prepared = preparing.prepared.add(rank))
    if (next.prepared.size < ranks) return Step(copy(stage = next))
    val holding = KeeperStage.Holding(preparing.version, preparing.map, nextStepToHold(now))
    return copy(isDisarmed = false, hasSuperseded = false).enter(holding, now)
}

/**
 * The first step that may not have begun; if it has, the keeper tries the steps after it.
 *
 * A retry takes a small part of a step; a step far ahead would delay the change by all steps in
 * between. After an order got no answer, the step is ahead by up to [LOSS_LEAD_STEPS] more, which
 * leaves [LOSS_LEAD_TIME] to repeat the orders that arm the ranks. Long steps need fewer of them,
 * or none: the group then waits less for the last order than for one more step.
 */
private fun GroupKeeper.nextStepToHold(now: Instant): Long {
    val wasOrderLost = now - lastUnansweredOrderAt < LOSS_WINDOW
    val leadSteps = pace.stepTime(now)?.let { (LOSS_LEAD_TIME / it).toInt() } ?: LOSS_LEAD_STEPS
    return latestStep + 1 + if (wasOrderLost) leadSteps.coerceAtMost(LOSS_LEAD_STEPS) else 0
}

/**
 * Releases the step again if it was held after its release.
 *
 * A hold that was sent before the release, such as one that another entry sends after a suspension,
 * may arrive after it as long as the step has not begun, as in a group without requests. Only a
 * report from after the release shows that.
 */
private fun GroupKeeper.releaseAgain(
    switching: KeeperStage.Switching,
    rank: Int,
    report: RankReport,
    now: Instant
): GroupKeeperStep {
    val isRecent = now - report.maxAge > switching.since
    val isHeldAgain = rank == HOLDING_RANK && report.heldStep == switching.step && isRecent
    if (!isHeldAgain) return Step(this)
    return enter(KeeperStage.Releasing(switching.version, switching.map, switching.step), now)
}

/**
 * Finishes the switch once its step has begun on any rank: all ranks are armed for that step and
 * begin it together.
 */
private fun GroupKeeper.concludeSwitch(now: Instant): GroupKeeperStep {
    val switching = stage as? KeeperStage.Switching ?: return Step(this)
    if (latestStep < switching.step) return Step(this)
    val record = logRecord(
        LogEvent.GROUP_MAP_IN_FORCE,
        "group" to group,
        "epoch" to epoch,
        "version" to switching.version,
        "step" to switching.step,
        "took_ms" to (now - switching.since).inWholeMilliseconds
    )
    val switched = copy(
        map = switching.map,
        mapStep = switching.step,
        stage = KeeperStage.Settled
    )
    return Step(switched, effects(GroupKeeperEffect.Log(record)))
}

private fun GroupKeeper.onCounted(event: GroupKeeperEvent.Counted, now: Instant): GroupKeeper {
    val size = placement.layers * placement.expertsPerLayer
    if (event.epoch != epoch || event.counts.size != size) return this
    val before = counts[event.rank]
    val known = copy(
        counts = counts.put(event.rank, event.counts),
        latestStep = maxOf(latestStep, event.step),
        pace = pace.observed(event.step, now)
    )
    val counted = if (before == null) known else known.addTokens(before, event, now)
    return counted.recordAnswer(event.rank)
}

/** Ends the round once every sampled rank has answered. */
private fun GroupKeeper.recordAnswer(rank: Int): GroupKeeper {
    if (rank !in awaitedCounts) return this
    val recorded = copy(awaitedCounts = awaitedCounts.remove(rank))
    return if (recorded.awaitedCounts.isEmpty()) recorded.endRound() else recorded
}

private fun GroupKeeper.addTokens(
    before: List<Long>,
    event: GroupKeeperEvent.Counted,
    now: Instant
): GroupKeeper {
    val size = before.size
    val tokens = IntArray(size) { (event.counts[it] - before[it]).coerceIn(0, MAX_COUNT).toInt() }
    val byLayer = List(placement.layers) { layer ->
        val from = layer * placement.expertsPerLayer
        tokens.copyOfRange(from, from + placement.expertsPerLayer)
    }
    return copy(demand = demand.plus(byLayer, now))
}

private fun GroupKeeper.onListed(event: GroupKeeperEvent.Listed, now: Instant): GroupKeeperStep {
    val reading = stage as? KeeperStage.ReadingMap
    if (reading == null || event.epoch != epoch) return Step(this)
    val known = reading.known.put(event.rank, event.experts)
    if (known.size < ranks) return Step(copy(stage = reading.copy(known = known)))
    val layers = List(placement.layers) { layer ->
        allRanks.map { rank -> known.getValue(rank)[layer] }.toPersistentList()
    }
    val read = GroupMap(layers.toPersistentList())
    val isComplete = read.isComplete(placement.layers, ranks, placement.expertsPerLayer)
    if (isComplete) return copy(map = read).settle(now)
    return Step(copy(map = null, stage = KeeperStage.Surveying(reading.askedAt)))
}

private fun GroupKeeper.onAnswered(
    event: GroupKeeperEvent.Answered,
    now: Instant
): GroupKeeperStep {
    if (event.epoch != epoch || event.fence != fence) return Step(this)
    val record = logRecord(
        LogEvent.GROUP_ORDER_ANSWERED,
        "group" to group,
        "epoch" to epoch,
        "fence" to fence,
        "rank" to event.rank,
        "order" to event.order.summary(),
        "outcome" to event.outcome,
        "stage" to stageName()
    )
    val logged = Step(this, effects(GroupKeeperEffect.Log(record)))
    return when (event.outcome) {
        OrderOutcome.DONE -> logged.then { it.onDone(event.rank, event.order, now) }
        // The order is repeated until it is done.
        OrderOutcome.BEGUN -> logged.then { it.onBegun(event, now) }
        OrderOutcome.CONFLICT -> logged.then { it.onConflict(event, now) }
        OrderOutcome.FENCED -> logged.map { it.copy(isFenced = true) }
        OrderOutcome.NO_ANSWER -> logged.then {
            it.copy(lastUnansweredOrderAt = now).withoutDelegation(event.order).repeatIfDue(now)
        }
    }
}

/** Sends the hold itself from now on if the entry to which it was delegated gave no answer. */
private fun GroupKeeper.withoutDelegation(order: RankOrder): GroupKeeper {
    val holding = stage as? KeeperStage.Holding ?: return this
    if (order != RankOrder.Hold(holding.step)) return this
    return copy(stage = holding.copy(isDelegated = false))
}

/** Repeats the outstanding orders now rather than at the next tick. */
private fun GroupKeeper.repeatIfDue(now: Instant): GroupKeeperStep {
    val isDue = stage.givesOrders() && now >= requestedAt + LOST_ORDER_INTERVAL
    if (!isDue) return Step(this)
    return Step(copy(requestedAt = now), outstanding(now).toPersistentList())
}

private fun GroupKeeper.onBegun(event: GroupKeeperEvent.Answered, now: Instant): GroupKeeperStep {
    val current = stage
    return when {
        current is KeeperStage.Preparing && event.order.isPrepareOf(current.version) ->
            Step(copy(stage = current.copy(begun = current.begun.add(event.rank))))
        current is KeeperStage.Superseding && event.order.isPrepareOf(current.version) ->
            onSuperseded(current, event.rank, now)
        else -> Step(this)
    }
}

private fun GroupKeeper.onSuperseded(
    superseding: KeeperStage.Superseding,
    rank: Int,
    now: Instant
): GroupKeeperStep {
    val next = superseding.copy(superseded = superseding.superseded.add(rank))
    if (next.superseded.size < ranks) return Step(copy(stage = next))
    return copy(hasSuperseded = true).settle(now)
}

private fun GroupKeeper.onDone(rank: Int, order: RankOrder, now: Instant): GroupKeeperStep {
    val current = stage
    return when {
        current is KeeperStage.Preparing && order.isPrepareOf(current.version) ->
            onPrepared(current, rank, now)
        current is KeeperStage.Superseding && order.isPrepareOf(current.version) ->
            onSuperseded(current, rank, now)
        current is KeeperStage.Holding && order == RankOrder.Hold(current.step) ->
            enter(KeeperStage.Arming(current.version, current.map, current.step), now)
        current is KeeperStage.Arming &&
            order == RankOrder.Arm(current.version, current.step) -> {
            val armed = current.copy(armed = current.armed.add(rank))
            if (armed.armed.size < ranks) return Step(copy(stage = armed))
            enter(KeeperStage.Releasing(current.version, current.map, current.step), now)
        }
        current is KeeperStage.Releasing && order == RankOrder.Release(current.step) ->
            enter(
                KeeperStage.Switching(current.version, current.map, current.step, now),
                now
            )
        current is KeeperStage.Undoing && order is RankOrder.Hold -> {
            val next = current.copy(heldAgain = current.heldAgain.add(rank))
            val isHeld = next.heldAgain.size == current.stepByHeldRank.size
            if (isHeld) enter(next, now) else Step(copy(stage = next))
        }
        current is KeeperStage.Undoing && order is RankOrder.Disarm -> onDisarmed(
            current,
            rank,
            now
        )
        current is KeeperStage.LettingGo && order is RankOrder.Release -> {
            val left = current.stepByRank.remove(rank)
            if (left.isEmpty()) {
                enter(KeeperStage.Surveying(now), now)
            } else {
                Step(copy(stage = KeeperStage.LettingGo(left)))
            }
        }
        else -> Step(this)
    }
}

private fun RankOrder.isPrepareOf(version: Long): Boolean =
    this is RankOrder.Prepare && this.version == version

private fun GroupKeeper.onDisarmed(
    undoing: KeeperStage.Undoing,
    rank: Int,
    now: Instant
): GroupKeeperStep {
    val next = undoing.copy(disarmed = undoing.disarmed.add(rank))
    if (next.disarmed.size == next.versionByRank.size) {
        return copy(isDisarmed = true).enter(KeeperStage.Surveying(now), now)
    }
    return Step(copy(stage = next))
}

private fun GroupKeeper.onConflict(
    event: GroupKeeperEvent.Answered,
    now: Instant
): GroupKeeperStep {
    val current = stage
    return when {
        current is KeeperStage.Holding && event.order == RankOrder.Hold(current.step) ->
            if (current.retries < MAX_HOLD_RETRIES) {
                val next = current.copy(
                    step = current.step + 1,
                    retries = current.retries + 1
                )
                enter(next, now)
            } else {
                enter(KeeperStage.Surveying(now), now)
            }
        current is KeeperStage.Preparing && event.order.isPrepareOf(current.version) ->
            enter(KeeperStage.Surveying(now), now)
        current is KeeperStage.Superseding && event.order.isPrepareOf(current.version) ->
            enter(KeeperStage.Surveying(now), now)
        current is KeeperStage.Arming &&
            event.order == RankOrder.Arm(current.version, current.step) ->
            enter(KeeperStage.Surveying(now), now)
        current is KeeperStage.Undoing ->
            enter(KeeperStage.Surveying(now), now)
        else -> Step(this)
    }
}

private const val MAX_COUNT = 1_000_000_000L

/** Time for which further losses are expected after an order got no answer. */
private val LOSS_WINDOW = 5.seconds

/** A step takes 50 to 100 ms and orders are repeated as often; few need a third attempt. */
private const val LOSS_LEAD_STEPS = 3

/** Steps between the last one that was begun and the furthest that a keeper holds. */
private const val MAX_LEAD_STEPS = LOSS_LEAD_STEPS + 1

/** Time for three attempts at an order; also [LOSS_LEAD_STEPS] steps of 150 ms. */
private val LOSS_LEAD_TIME = 450.milliseconds

/** Further steps to try if the step to hold has begun; one second in steps of 25 ms. */
private const val MAX_HOLD_RETRIES = 40

private val RankReport.maxAge: Duration
    get() = if (isFresh) MAX_FRESH_REPORT_AGE else MAX_REPORT_AGE

/** Oldest state that a report may show on arrival. */
private val MAX_REPORT_AGE: Duration = 600.milliseconds

/** Transit time of a fresh report: a few milliseconds, more on a slow machine. */
private val MAX_FRESH_REPORT_AGE: Duration = 100.milliseconds

/** Limits the rate of orders to a rank whose connections fail immediately. */
private val LOST_ORDER_INTERVAL = 30.milliseconds
