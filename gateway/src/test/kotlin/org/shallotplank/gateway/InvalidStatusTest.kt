package org.shallotplank.gateway

import arrow.core.left
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.gateway.http.CallFailure
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpClient

/** Peers that answer with a status that HTTP does not have. */
class InvalidStatusTest {
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll(): Unit = open.forEach { it.close() }

    private fun answering(status: String, extra: String = "", body: String = "trouble") =
        ScriptedUpstream { request, socket, _ ->
            socket.send(answer(request, body, "$status Odd", extra))
        }.also { open += it }

    private fun sound() =
        ScriptedUpstream { request, socket, _ -> socket.send(answer(request, "sound")) }
            .also { open += it }

    private fun reply(kind: String, vararg upstreams: ScriptedUpstream): String =
        GatewayFixture(upstreams.toList()).also { open += it }.exchange(request(kind))

    /** Guards against callers who get an answer with a status such as 000. */
    @Nested
    inner class OfAnUpstream {
        @Test
        fun `ends a request that may not run again as failed`() {
            for (status in INVALID) {
                val reply = reply("unsafe", answering(status))
                assertContains(reply, "HTTP/1.1 502 ", message = status)
            }
        }

        @Test
        fun `is not passed on where the answer is long or a stream`() {
            val long = "trouble ".repeat(60_000)
            assertContains(reply("unsafe", answering("000", body = long)), "HTTP/1.1 502 ")
            assertContains(reply("stream", answering("000"), sound()), "sound")
        }

        @Test
        fun `lets another upstream answer an idempotent request`() {
            for (status in INVALID) {
                val reply = reply("safe", answering(status), sound())
                assertContains(reply, "sound", message = status)
            }
        }

        @Test
        fun `is no statement that the request has not run`() {
            val claiming = answering("600", extra = "X-Not-Run: 1\r\n")
            assertContains(reply("unsafe", claiming), "HTTP/1.1 502 ")
            assertEquals(1, claiming.requests.size)
        }
    }

    /** Guards against failures of the store, a relay or another entry that count as replies. */
    @Nested
    inner class OfAnotherPeer {
        @Test
        fun `loses the call`() {
            val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
            open += AutoCloseable { group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS) }
            for (status in INVALID) {
                val reply = runBlocking(group.next().asCoroutineDispatcher()) {
                    HttpClient(group, answering(status).address)
                        .call(HttpCall("GET", "/"), timeout = 5.seconds)
                }
                assertEquals(CallFailure.CONNECTION_LOST.left(), reply, status)
            }
        }
    }

    private companion object {
        val INVALID = listOf("000", "007", "099", "600", "999")
    }
}
