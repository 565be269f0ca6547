package org.shallotplank.core.execution

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.call.AnswerHead

class ExecutionTest {
    private val start = Instant.fromEpochSeconds(1_800_000_000)
    private val written = ExecutionEvent.WriteEnded(
        ExecutionState.STARTED,
        WriteOutcome.Written(version = 1)
    )
    private val running = beginExecution(
        key = RecordKey.of(ServiceName("order-app"), CustomerName("office"), "key"),
        attemptId = AttemptId("a"),
        holder = Holder(InstanceId("order-app-1"), incarnation = 1),
        digest = "digest",
        deadline = start + 20.seconds,
        now = start
    ).state.on(written, start).state

    /** Counts the writes and reads requested in [ticks] ticks, 100 ms apart, without replies. */
    private fun Execution.callsInTicks(ticks: Int): Int {
        var state = this
        var calls = 0
        repeat(ticks) { tick ->
            val step = state.on(ExecutionEvent.Tick, start + 100.milliseconds * (tick + 1))
            calls += step.effects.size
            state = step.state
        }
        return calls
    }

    @Nested
    inner class Retries {
        @Test
        fun `of an outcome that is not recorded yet are a second apart`() {
            val answer = StoredAnswer(AnswerHead(status = 200), bodyBase64 = "")
            val recording = running.on(ExecutionEvent.AnswerEnded(answer), start)
            assertEquals(1, recording.effects.size)
            assertEquals(0, recording.state.callsInTicks(9))
            assertEquals(3, recording.state.callsInTicks(30))
        }

        @Test
        fun `of a release that is not written yet are a second apart`() {
            val releasing = running.on(ExecutionEvent.NeverSent, start)
            assertEquals(0, releasing.state.callsInTicks(9))
            assertEquals(3, releasing.state.callsInTicks(30))
        }
    }
}
