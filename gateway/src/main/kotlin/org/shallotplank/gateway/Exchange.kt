package org.shallotplank.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpResponse
import kotlin.time.Instant
import org.shallotplank.core.RequestId
import org.shallotplank.gateway.caller.CallerConnection
import org.shallotplank.gateway.caller.CallerMessage
import org.shallotplank.gateway.upstream.UpstreamAttempt

/** A request with its caller's connection, from its arrival to its end. */
internal class Exchange(
    val id: RequestId,
    val connection: CallerConnection,
    val message: CallerMessage,
    val arrivedAt: Instant
) {
    /** The latest attempt, or null before the first one; it may have ended. */
    var attempt: UpstreamAttempt? = null

    /** Whether the head of the answer was sent to the caller. */
    var isAnswerBegun = false

    /** Id of the last event that was sent to the caller, null before the first one. */
    var lastEventId: String? = null

    /** A whole answer that is not yet sent, until the reducer decides on it. */
    var held: FullHttpResponse? = null
        set(value) {
            field?.release()
            field = value
        }

    val body: ByteBuf get() = message.body

    /** Releases the buffers of the exchange. */
    fun release() {
        held = null
        body.release()
    }
}
