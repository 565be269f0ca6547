package org.shallotplank.core.expertmap.fake

import kotlin.test.assertEquals
import org.shallotplank.core.expertmap.ArmedMap
import org.shallotplank.core.expertmap.GroupMap
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.expertmap.RankOrder
import org.shallotplank.core.expertmap.RankReport

/**
 * Engines of one rank group that carry out a keeper's orders; a test may deliver its reports late.
 *
 * All ranks begin a step together; [runStep] fails if two ranks then use different maps.
 */
internal class FakeRankGroup(private val ranks: Int, private val areFencesChecked: Boolean = true) {
    private class Rank {
        var version = 0L
        var highestVersion = 0L
        var prepared: Long? = null
        var armed: ArmedMap? = null
        var held: Long? = null
        var fence = 0L
        var orderCount = 0L
    }

    private var members = List(ranks) { Rank() }
    private val mapByVersion = HashMap<Long, GroupMap>()

    var epoch = 1L
        private set
    var step = 0L
        private set
    var switches = 0
        private set
    private var version = 0L

    val isHeld: Boolean get() = members.any { it.held == step + 1 }

    /** Begins the next step, unless it is held. */
    fun runStep() {
        if (isHeld) return
        step++
        for (rank in members) {
            val armed = rank.armed?.takeIf { it.step == step } ?: continue
            rank.version = armed.version
            rank.armed = null
            rank.prepared = null
        }
        val versions = members.map { it.version }.distinct()
        assertEquals(1, versions.size, "step $step of epoch $epoch began with maps $versions")
        if (members.first().version != version) switches++
        version = members.first().version
    }

    /** Re-forms the group with a new epoch, as after the restart of a rank. */
    fun reform() {
        epoch++
        members = List(ranks) { Rank() }
    }

    fun report(rank: Int): RankReport = members[rank].let {
        RankReport(
            epoch = epoch,
            isFormed = true,
            step = step,
            mapVersion = it.version,
            preparedVersion = it.prepared,
            armed = it.armed,
            heldStep = it.held
        )
    }

    fun experts(rank: Int, initial: GroupMap): Pair<Long, List<List<Int>>> {
        val version = members[rank].version
        val map = mapByVersion[version] ?: initial
        return version to map.layers.map { it[rank] }
    }

    /** The number of orders that began something at [rank]. */
    fun orderCount(rank: Int): Long = members[rank].orderCount

    /** Carries out an order and returns its outcome. */
    fun execute(rank: Int, order: RankOrder, orderEpoch: Long, fence: Long): OrderOutcome {
        val member = members[rank]
        if (areFencesChecked && fence < member.fence) return OrderOutcome.FENCED
        member.fence = maxOf(member.fence, fence)
        if (orderEpoch != epoch) return OrderOutcome.CONFLICT
        val fits = when (order) {
            is RankOrder.Prepare -> member.prepare(order)
            is RankOrder.Arm -> member.arm(order)
            is RankOrder.Disarm -> member.disarm(order)
            is RankOrder.Hold -> member.hold(order)
            is RankOrder.Release -> member.release(order)
        }
        return if (fits) OrderOutcome.DONE else OrderOutcome.CONFLICT
    }

    private fun Rank.prepare(order: RankOrder.Prepare): Boolean {
        if (prepared == order.version) return true
        if (armed != null || order.version <= highestVersion) return false
        mapByVersion[order.version] = order.map
        highestVersion = order.version
        prepared = order.version
        orderCount++
        return true
    }

    private fun Rank.arm(order: RankOrder.Arm): Boolean {
        val next = ArmedMap(order.version, order.step)
        if (armed == next) return true
        if (prepared != order.version || order.step <= step) return false
        armed = next
        orderCount++
        return true
    }

    private fun Rank.disarm(order: RankOrder.Disarm): Boolean {
        if (version == order.version) return false
        if (armed?.version == order.version) {
            armed = null
            orderCount++
        }
        return true
    }

    private fun Rank.hold(order: RankOrder.Hold): Boolean {
        if (held == order.step) return true
        if (held != null || order.step <= step) return false
        held = order.step
        orderCount++
        return true
    }

    private fun Rank.release(order: RankOrder.Release): Boolean {
        if (held == order.step) {
            held = null
            orderCount++
        }
        return true
    }
}
