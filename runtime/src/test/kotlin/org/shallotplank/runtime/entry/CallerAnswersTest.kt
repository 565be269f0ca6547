package org.shallotplank.runtime.entry

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.channels.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.RequestId
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.Payload

class CallerAnswersTest {
    private val id = RequestId("entry-1-1")
    private val begin = AnswerPart.Begin(AnswerHead(status = 200))
    private val next = AnswerPart.Continue(Payload.Empty)
    private val overflows = mutableListOf<RequestId>()
    private val answers = CallerAnswers(onOverflow = { overflows += it })

    @Nested
    inner class AnAnswer {
        @Test
        fun `is removed with its last part`() {
            val parts = answers.open(id)
            val given = listOf(begin, next, AnswerPart.End)
            given.forEach { answers.put(id, it) }
            assertEquals(0, answers.openCount)
            assertEquals(given, given.map { parts.tryReceive().getOrNull() })
        }

        @Test
        fun `is removed when its caller disconnects`() {
            answers.open(id)
            answers.put(id, begin)
            answers.close(id)
            assertEquals(0, answers.openCount)
        }

        @Test
        fun `is closed without a last part when its caller reads too slowly`(): Unit = runBlocking {
            val parts = answers.open(id)
            while (overflows.isEmpty()) answers.put(id, next)
            answers.put(id, AnswerPart.End)
            assertEquals(0, answers.openCount)
            assertEquals(setOf<AnswerPart>(next), parts.toList().toSet())
        }
    }
}
