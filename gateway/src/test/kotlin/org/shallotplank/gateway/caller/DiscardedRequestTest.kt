package org.shallotplank.gateway.caller

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.LastHttpContent
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.gateway.budget.MAX_BODY_TIME
import org.shallotplank.gateway.budget.MIN_BYTES_PER_SECOND

/** Guards against refusals that are lost in a reset, and against refused callers that stay. */
class DiscardedRequestTest {
    private val start = Instant.fromEpochSeconds(1_000)
    private val limits = CallerLimits(maxBodyBytes = 100_000, idleTimeout = 15.seconds)
    private val request = DiscardedRequest(start, isWithinLimits = true)

    private fun isOver(
        after: Duration,
        sentAfter: Duration = Duration.ZERO,
        readAfter: Duration = after,
        of: DiscardedRequest = request
    ) = of.isOver(start + after, start + sentAfter, start + readAfter, limits)

    private fun receive(bytes: Int): Unit =
        request.onPart(DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(bytes))))

    @Test
    fun `a caller within the limits may send its whole body`() {
        receive(40_000)
        assertFalse(isOver(60.seconds))
        request.onPart(LastHttpContent.EMPTY_LAST_CONTENT)
        assertTrue(isOver(60.seconds))
    }

    @Test
    fun `one that sends nothing or too slowly is closed`() {
        assertFalse(isOver(14.seconds, readAfter = Duration.ZERO))
        assertTrue(isOver(16.seconds, readAfter = Duration.ZERO))
        receive(1_000)
        assertFalse(isOver(30.seconds))
        assertTrue(isOver(32.seconds))
        receive(99_000)
        assertTrue(isOver(80.minutes))
    }

    @Test
    fun `one that exceeds a limit has a second after it read the refusal`() {
        val invalid = DiscardedRequest(start, isWithinLimits = false)
        assertFalse(isOver(0.9.seconds, of = invalid))
        assertTrue(isOver(1.1.seconds, of = invalid))
        assertFalse(isOver(5.9.seconds, sentAfter = 5.seconds, of = invalid))
        receive(100_001)
        assertTrue(isOver(1.1.seconds))
    }

    // Guards against a time limit that bodies within the published limits exceed.
    @Test
    fun `the time of a body suffices for the largest one at the lowest rate`() {
        assertTrue(MAX_BODY_TIME.inWholeSeconds * MIN_BYTES_PER_SECOND > 4_194_304)
    }
}
