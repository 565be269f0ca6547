package org.shallotplank.core.limit

import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.state.ActionChain
import org.shallotplank.core.config.ServiceLimits
import org.shallotplank.core.fuzzAction

class UpstreamLimitFuzz {
    @Property(tries = 1000, seed = "41")
    fun `allows a cold upstream no more requests than its timely answers justify`(
        @ForAll("chains") chain: ActionChain<LimitModel>
    ) {
        chain.run()
    }

    @Provide
    fun chains(): Arbitrary<ActionChain<LimitModel>> = ActionChain.startWith { LimitModel() }
        .withAction(8, fuzzAction("start") { oracle, _ -> oracle.start() })
        .withAction(
            8,
            fuzzAction("finish in time", most = 15) { oracle, n ->
                oracle.finish(n, 20.milliseconds)
            }
        )
        .withAction(
            1,
            fuzzAction("finish slowly", most = 15) { oracle, n ->
                oracle.finish(n, 50.milliseconds)
            }
        )
        .withAction(1, fuzzAction("fail", most = 15) { oracle, n -> oracle.finish(n, null) })
        .withAction(3, fuzzAction("report") { oracle, _ -> oracle.sendReport() })
        .withAction(3, fuzzAction("deliver report") { oracle, _ -> oracle.deliverReport() })
        .withAction(1, fuzzAction("go cold") { oracle, _ -> oracle.isCold = true })
        .withAction(1, fuzzAction("warm up") { oracle, _ -> oracle.isCold = false })
        .withAction(1, fuzzAction("restart unseen") { oracle, _ -> oracle.restart(isSeen = false) })
        .withAction(1, fuzzAction("restart seen") { oracle, _ -> oracle.restart(isSeen = true) })
        .withAction(
            1,
            fuzzAction("change limits", most = 15) { oracle, n ->
                oracle.changeLimits(
                    1 + n % 4
                )
            }
        )
        .withAction(
            4,
            fuzzAction("wait", most = 15) { oracle, n ->
                oracle.now +=
                    (n * 200).milliseconds
            }
        )
        .withMaxTransformations(150)
}

/**
 * An upstream and a model of the rule that its limit must keep.
 *
 * The requests that run at once never exceed the cold concurrency plus one for each request that
 * was both started and answered in time after the last delivered cold sign. While the upstream
 * reports that it is cold, they never exceed the cold concurrency. The cold concurrency is the
 * highest one configured since that sign.
 */
class LimitModel {
    var now: Instant = Instant.fromEpochSeconds(0)
    var isCold = true
    private var limit = UpstreamLimit(ServiceLimits(coldConcurrency = 2, maxConcurrency = 12))
    private var incarnation = 1L
    private val running = mutableListOf<Int>()
    private val reports = ArrayDeque<LimitEvent.LoadReported>()
    private var coldSigns = 0
    private var answeredSinceColdSign = 0
    private var coldAllowance = 2
    private var deliveredIncarnation: Long? = null
    private var isLost = false
    private var saysCold = false

    fun start() {
        if (!limit.admits) return
        running += coldSigns
        apply(LimitEvent.Started)
        val earned = if (saysCold) 0 else answeredSinceColdSign
        val allowed = coldAllowance + earned
        assertTrue(running.size <= allowed, "running ${running.size}, allowed $allowed, $limit")
    }

    fun finish(index: Int, step: Duration?) {
        if (running.isEmpty()) return
        val coldSignsAtStart = running.removeAt(index % running.size)
        val isInTime = step != null && step <= limit.limits.targetStep
        if (isInTime && coldSignsAtStart == coldSigns) answeredSinceColdSign++
        apply(LimitEvent.Finished(100.milliseconds, step, succeeded = step != null))
    }

    fun sendReport() {
        reports += LimitEvent.LoadReported(incarnation, running.size, 0, 20.milliseconds, isCold)
    }

    fun deliverReport() {
        val report = reports.removeFirstOrNull() ?: return
        val isOutdated = isLost && report.incarnation == deliveredIncarnation && !report.cold
        if (!isOutdated) {
            val isOther = deliveredIncarnation?.let { it != report.incarnation } ?: false
            if (isOther || report.cold) onColdSign()
            saysCold = report.cold
            deliveredIncarnation = report.incarnation
            isLost = false
        }
        apply(report)
    }

    fun restart(isSeen: Boolean) {
        incarnation++
        isCold = true
        if (isSeen) {
            onColdSign()
            isLost = true
            saysCold = false
            apply(LimitEvent.UpstreamLost)
        }
        repeat(running.size) { finish(0, null) }
    }

    fun changeLimits(coldConcurrency: Int) {
        coldAllowance = maxOf(coldAllowance, coldConcurrency)
        apply(LimitEvent.LimitsChanged(limit.limits.copy(coldConcurrency = coldConcurrency)))
    }

    private fun onColdSign() {
        coldSigns++
        answeredSinceColdSign = 0
        coldAllowance = limit.limits.coldConcurrency
    }

    private fun apply(event: LimitEvent) {
        limit = limit.on(event, now)
        assertTrue(limit.running == running.size || event is LimitEvent.UpstreamLost)
        assertTrue(limit.concurrency in 1..limit.limits.maxConcurrency, "$limit")
    }
}
