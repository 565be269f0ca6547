package org.shallotplank.core.group

import org.shallotplank.core.placement.ExpertMap
import org.shallotplank.core.placement.MapVersion

/** Records the map that each rank used in each step, and keeps the ranks in lock-step. */
internal class StepHistory(private val ranks: Int) {
    private val mapsByStep = mutableMapOf<Long, MutableMap<Int, ExpertMap>>()
    var violation: String? = null
        private set

    fun enter(step: Long, rank: Int, map: ExpertMap) {
        val maps = mapsByStep.getOrPut(step) { mutableMapOf() }
        maps[rank] = map
        if (maps.values.toSet().size > 1) violation = "step $step ran with different maps: $maps"
    }

    /** A step is complete once all ranks have entered it; no rank leaves an incomplete step. */
    fun isComplete(step: Long): Boolean = mapsByStep[step]?.size == ranks

    fun forget(rank: Int) = mapsByStep.values.forEach { it.remove(rank) }
}

/** An engine that carries out every order that arrives, whatever its incarnation. */
internal class FakeEngine(private val rank: Int, private val history: StepHistory) {
    var restarts = 0
        private set
    var step = 0L
        private set
    private var version = MapVersion.None
    private val staged = mutableMapOf<MapVersion, ExpertMap>()
    private var isHeld = true
    private var armedStep: Long? = null
    private var change: EngineOrder.Enter? = null

    fun restart() {
        restarts++
        step = 0
        version = MapVersion.None
        staged.clear()
        isHeld = true
        armedStep = null
        change = null
        history.forget(rank)
    }

    fun advance() {
        val next = step + 1
        val isArmed = armedStep?.let { next >= it } ?: false
        if (isHeld || isArmed || !history.isComplete(step)) return
        if (change?.step == next) version = checkNotNull(change).version
        enter(next)
    }

    fun execute(order: EngineOrder): EngineAnswer {
        when (order) {
            is EngineOrder.Hold -> isHeld = true
            is EngineOrder.Stage -> staged[order.map.version] = order.map.map
            is EngineOrder.Arm -> armedStep = order.step
            is EngineOrder.Enter -> release(order)
        }
        return EngineAnswer(step, version)
    }

    private fun release(order: EngineOrder.Enter) {
        if (order.version !in staged) return
        if (isHeld && order.version != version) {
            version = order.version
            change = null
            enter(order.step)
        } else if (order.version != version) {
            change = order
        }
        isHeld = false
        armedStep = null
    }

    private fun enter(next: Long) {
        step = next
        history.enter(step, rank, staged.getValue(version))
    }
}
