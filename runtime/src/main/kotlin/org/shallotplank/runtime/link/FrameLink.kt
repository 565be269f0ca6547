package org.shallotplank.runtime.link

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.shallotplank.wire.Frame
import org.shallotplank.wire.FrameConnection

/**
 * Runs the reader, the writer and the heartbeats of one connection.
 *
 * A connection on which no frame arrives for [silenceLimit] is closed, since a device on the path
 * may have dropped its state for this connection while new connections still work.
 */
internal class FrameLink(
    private val connection: FrameConnection,
    private val silenceLimit: Duration = SILENCE_LIMIT,
    private val heartbeatInterval: Duration = HEARTBEAT_INTERVAL
) {
    private val outgoing = Channel<Frame>(OUTGOING_CAPACITY)

    /**
     * Queues [frame].
     *
     * Returns false when the frame will not be sent: the link is closed, or the queue is full
     * because the peer reads too slowly. In the latter case the link is closed as well.
     */
    fun send(frame: Frame): Boolean {
        val isQueued = outgoing.trySend(frame).isSuccess
        if (!isQueued) close()
        return isQueued
    }

    /** Closes the connection, which makes [run] return. */
    fun close() {
        outgoing.close()
        connection.close()
    }

    /** Reads frames until the connection ends and passes each, except pings, to [onFrame]. */
    suspend fun run(onFrame: suspend (Frame) -> Unit) {
        try {
            coroutineScope {
                val writer = launch { write() }
                val heartbeats = launch { sendHeartbeats() }
                try {
                    read(onFrame)
                } finally {
                    close()
                    heartbeats.cancel()
                    writer.cancel()
                }
            }
        } catch (e: IOException) {
            close()
        } catch (e: ClosedReceiveChannelException) {
            close()
        }
    }

    private suspend fun read(onFrame: suspend (Frame) -> Unit) {
        while (true) {
            val frame = withTimeoutOrNull(silenceLimit) { connection.receive() } ?: return
            if (frame is Frame.Ping) send(Frame.Pong(frame.sequence)) else onFrame(frame)
        }
    }

    private suspend fun write() {
        for (frame in outgoing) {
            val isSent = withTimeoutOrNull(silenceLimit) { connection.send(frame) } != null
            if (!isSent) return close()
        }
    }

    private suspend fun CoroutineScope.sendHeartbeats() {
        var sequence = 0L
        while (isActive) {
            send(Frame.Ping(sequence++))
            delay(heartbeatInterval)
        }
    }

    private companion object {
        const val OUTGOING_CAPACITY = 4096
        val SILENCE_LIMIT = 3.seconds
        val HEARTBEAT_INTERVAL = 1.seconds
    }
}
