package org.shallotplank.core.admission

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.config.Priority

/** Kinds of requests of one service, which hold a slot for about two seconds. */
internal val urgencyMix = listOf(
    UrgencyKind(Priority.ORDER, perSecond = 56.2, maxWait = 503.milliseconds * 0.7),
    UrgencyKind(Priority.INTERACTIVE, perSecond = 73.6, maxWait = 503.milliseconds * 0.7),
    UrgencyKind(Priority.BACKGROUND, perSecond = 24.7, maxWait = 1_003.milliseconds * 0.7)
)

internal class UrgencyKind(val priority: Priority, val perSecond: Double, val maxWait: Duration)

/** Offers one entry of 13 its part of [kinds] times [load]; their slots suffice for 1.0. */
internal class UrgencyLoad(
    private var queue: AdmissionQueue,
    private val load: Double,
    seed: Int,
    private val kinds: List<UrgencyKind> = urgencyMix
) {
    private val random = Random(seed)
    private val decisionRandom = Random(seed + 1)
    private val due = PriorityQueue<Due>(compareBy({ it.at }, { it.order }))
    private var now = Instant.fromEpochSeconds(1_000)
    private var scheduled = 0
    private val kindOf = HashMap<RequestId, Priority>()
    val decisions = mutableListOf<AdmissionDecision>()
    val offered = HashMap<Priority, Int>()
    val refused = HashMap<Priority, Int>()

    private class Due(val at: Instant, val order: Int, val run: () -> Unit)

    /** Runs for [duration]; [capacityAt] is the capacity after a time. */
    fun run(duration: Duration, capacityAt: (Duration) -> Int): UrgencyLoad {
        val start = now
        kinds.forEach(::arriveLater)
        every(TICK) { apply(queue.resize(capacityAt(now - start), now, decisionRandom)) }
        while (due.peek().at < start + duration) {
            val next = due.poll()
            now = next.at
            next.run()
        }
        return this
    }

    fun refusedShare(priority: Priority): Double =
        (refused[priority] ?: 0).toDouble() / offered.getValue(priority)

    val refusedShares: List<Double> get() = kinds.map { refusedShare(it.priority) }

    private fun arriveLater(kind: UrgencyKind) {
        later((1 / (kind.perSecond * load / ENTRIES)).seconds * -ln(1 - random.nextDouble())) {
            val request = AdmissionRequest(
                id = RequestId("r${kindOf.size}"),
                customer = CustomerName("c${kindOf.size % 3}"),
                startBy = now + kind.maxWait,
                priority = kind.priority
            )
            kindOf[request.id] = kind.priority
            offered.merge(kind.priority, 1, Int::plus)
            apply(queue.offer(request, now, decisionRandom))
            arriveLater(kind)
        }
    }

    private fun apply(step: AdmissionStep) {
        queue = step.state
        decisions += step.effects
        for (decision in step.effects) {
            when (decision) {
                is AdmissionDecision.Admit -> later(HELD * random.nextDouble(0.5, 1.5)) {
                    apply(queue.release(decision.request, now, decisionRandom))
                }
                is AdmissionDecision.Refuse ->
                    refused.merge(kindOf.getValue(decision.request), 1, Int::plus)
                is AdmissionDecision.Queue -> Unit
            }
        }
    }

    private fun every(interval: Duration, run: () -> Unit): Unit = later(interval) {
        run()
        every(interval, run)
    }

    private fun later(delay: Duration, run: () -> Unit) {
        due += Due(now + delay, scheduled++, run)
    }

    companion object {
        const val ENTRIES = 13
        val HELD = 2.seconds
        private val TICK = 50.milliseconds

        /** Slots of one entry that serve the mix at a load of 1.0. */
        val SLOTS: Int = (urgencyMix.sumOf { it.perSecond } / ENTRIES * HELD.inWholeSeconds).toInt()
    }
}
