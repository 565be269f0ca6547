package org.shallotplank.integrationtest

/** Result of a call to a rank. */
internal sealed interface RankResult {
    /** The rank executed the call; [state] is its state afterwards. */
    data class Done(val state: RankState) : RankResult

    /** The rank refused the call; [state] is unchanged. */
    data class Rejected(val state: RankState) : RankResult
}

/**
 * Stand-in for one rank of a group: stages an expert map, arms it for a step and uses it from
 * that step on.
 *
 * Without [checksFencing] it also accepts calls of an older group incarnation.
 */
internal class RankStandIn(private val checksFencing: Boolean) {
    private var incarnation = 0L
    private var state = RankState(step = 0, mapVersion = 0)
    private val staged = mutableSetOf<Long>()
    private var armed: RankRequest? = null
    private val steps = mutableListOf<RankStep>()

    /** Stages the map in [request], that is, loads its weights. */
    @Synchronized
    fun stage(request: RankRequest): RankResult = unlessStale(request) {
        staged += request.mapVersion
        RankResult.Done(state)
    }

    /** Arms a staged map, so that the rank uses it from the step in [request] on. */
    @Synchronized
    fun arm(request: RankRequest): RankResult = unlessStale(request) {
        if (request.mapVersion !in staged || request.step <= state.step) {
            RankResult.Rejected(state)
        } else {
            armed = request
            RankResult.Done(state)
        }
    }

    /** Executes the step in [request], which must be later than the current one. */
    @Synchronized
    fun step(request: RankRequest): RankResult = unlessStale(request) {
        if (request.step <= state.step) {
            RankResult.Rejected(state)
        } else {
            takeStep(request.step)
            RankResult.Done(state)
        }
    }

    /** Returns all executed steps, oldest first. */
    @Synchronized
    fun steps(): List<RankStep> = steps.toList()

    /** Resets all state except the log of steps, as a restart does. */
    @Synchronized
    fun restart() {
        incarnation = 0
        state = RankState(step = 0, mapVersion = 0)
        staged.clear()
        armed = null
    }

    private fun takeStep(step: Long) {
        val due = armed?.takeIf { it.step <= step }
        if (due != null) armed = null
        state = RankState(step, due?.mapVersion ?: state.mapVersion)
        steps += RankStep(incarnation, step, state.mapVersion)
    }

    private fun unlessStale(request: RankRequest, action: () -> RankResult): RankResult {
        if (checksFencing && request.incarnation < incarnation) return RankResult.Rejected(state)
        if (request.incarnation > incarnation) {
            incarnation = request.incarnation
            armed = null
        }
        return action()
    }
}
