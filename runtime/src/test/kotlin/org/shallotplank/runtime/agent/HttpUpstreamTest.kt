package org.shallotplank.runtime.agent

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptOffer

class HttpUpstreamTest {
    private val offer = AttemptOffer(
        requestId = RequestId("r"),
        attemptId = AttemptId("r.1"),
        service = ServiceName("s"),
        customer = CustomerName("c"),
        method = "GET",
        path = "/",
        digest = "",
        remainingMillis = 5_000
    )

    /** Guards against callers who get an answer with a status that HTTP does not have. */
    @Nested
    inner class AnAnswerWithAnInvalidStatus {
        private fun assertLost(status: String) {
            val upstream = httpUpstream(answering(status))
            val heads = mutableListOf<AnswerHead>()
            val sink = AnswerSink(onHead = { heads += it }, onChunk = { _, _ -> })
            assertEquals(UpstreamEnd.Lost, runBlocking { upstream.call(offer, sink) }, status)
            assertEquals(emptyList(), heads, status)
        }

        private fun answering(status: String): Address {
            val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
            thread {
                server.use {
                    val socket = it.accept()
                    socket.getInputStream().read(ByteArray(REQUEST_BYTES))
                    val answer = "HTTP/1.1 $status Odd\r\nContent-Length: 2\r\n\r\nno"
                    socket.getOutputStream().write(answer.toByteArray())
                    socket.close()
                }
            }
            return Address("127.0.0.1", server.localPort)
        }

        @Test
        fun `is lost`(): Unit = listOf("000", "099", "600", "999").forEach(::assertLost)
    }

    private companion object {
        const val REQUEST_BYTES = 4_096
    }
}
