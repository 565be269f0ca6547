package org.shallotplank.gateway

import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import org.junit.jupiter.api.Nested
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.core.gateway.GatewayEvent

/** What callers and upstreams observe of a gateway entry, one case of the data path per test. */
class DataPathTest {
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll(): Unit = open.forEach { it.close() }

    private fun upstream(
        respond: (ReadRequest, Socket, Int) -> Unit = { request, socket, _ ->
            socket.send(answer(request))
        }
    ) = ScriptedUpstream(respond = respond).also { open += it }

    private fun gateway(
        vararg upstreams: ScriptedUpstream,
        maxAttempts: Int = 2,
        timeout: Duration = 5_000.milliseconds,
        limits: CallerLimits = CallerLimits()
    ) = GatewayFixture(upstreams.toList(), maxAttempts, timeout, limits).also { open += it }

    @Nested
    inner class Forwarding {
        @Test
        fun `keeps method, target, body and end-to-end headers`() {
            val upstream = upstream()
            val extra = "X-Own: 1\r\nX-Hop: 2\r\nTE: trailers\r\n"
            val message = request("safe", extra, body = "hello")
                .replace("Connection: close", "Connection: close, X-Hop")
            val reply = gateway(upstream).exchange(message)
            val seen = upstream.requests.single()
            assertEquals("POST /safe/x?q=1 HTTP/1.1", seen.line)
            assertEquals("hello", seen.body)
            assertEquals("1", seen.header("X-Own"))
            assertNull(seen.header("X-Hop"))
            assertNull(seen.header("TE"))
            assertContains(reply, "X-Stamp: s")
            assertTrue(reply.endsWith("ok"))
        }

        @Test
        fun `replaces credential and customer headers with the customer of the credential`() {
            val upstream = upstream()
            gateway(upstream).exchange(request("safe", extra = "X-Customer: bob\r\n"))
            val seen = upstream.requests.single()
            assertNull(seen.header("X-Credential"))
            assertEquals(listOf("X-Customer: alice"), seen.headers.filter { "Customer" in it })
        }

        @Test
        fun `names the upstream and forwards the remaining time`() {
            val upstream = upstream()
            gateway(upstream).exchange(request("safe"))
            val seen = upstream.requests.single()
            assertEquals("u0", seen.header("X-Expect"))
            assertTrue((seen.header("X-Time-Left") ?: "0").toInt() in 4_000..5_000)
        }

        /** Guards against a budget that refuses callers within the published limits. */
        @Test
        fun `accepts several bodies of the largest size at once`() {
            val upstream = upstream { request, socket, _ -> socket.send(answer(request)) }
            val gateway = gateway(upstream, limits = CallerLimits(maxBodyBytes = 4_194_304))
            val message = request("safe", body = "x".repeat(4_194_304))
            val replies = List(8) { CompletableFuture.supplyAsync { gateway.exchange(message) } }
            replies.forEach { assertContains(it.get(20, TimeUnit.SECONDS), "200 OK") }
        }

        @Test
        fun `accepts a chunked body`() {
            val upstream = upstream()
            val head = request("safe").replace("Content-Length: 0", "Transfer-Encoding: chunked")
            gateway(upstream).exchange(head + chunk("he") + chunk("llo") + LAST_CHUNK)
            assertEquals("hello", upstream.requests.single().body)
        }
    }

    @Nested
    inner class Rejections {
        @Test
        fun `of an unknown route and of an unknown credential reach no upstream`() {
            val upstream = upstream()
            val gateway = gateway(upstream)
            assertContains(gateway.exchange(request("other")), "404 Not Found")
            val unknown = request("safe").replace("secret", "wrong")
            assertContains(gateway.exchange(unknown), "401 Unauthorized")
            assertEquals(0, upstream.requests.size)
        }

        @Test
        fun `of ambiguous framing forward no smuggled request`() {
            val upstream = upstream()
            val gateway = gateway(upstream)
            val smuggled = "GET /safe/hidden HTTP/1.1\r\nHost: h.example\r\n\r\n"
            val ambiguous = listOf(
                request("safe", "Transfer-Encoding: chunked\r\n", smuggled),
                request("safe", "Content-Length: 3\r\n", smuggled),
                request("safe").replace("X-Attempt:", "X-Attempt :"),
                request("safe").replace("\r\nX-Attempt", "\nX-Attempt"),
                request("safe", "Host: other.example\r\n")
            )
            ambiguous.forEach { assertContains(gateway.exchange(it), "400 Bad Request") }
            assertEquals(0, upstream.requests.size)
        }

        @Test
        fun `of large headers and bodies`() {
            val gateway = gateway(upstream(), limits = CallerLimits(4_096, 100))
            val large = "X-Large: ${"x".repeat(5_000)}\r\n"
            assertContains(gateway.exchange(request("safe", large)), " 431 ")
            assertContains(gateway.exchange(request("safe", body = "x".repeat(101))), " 413 ")
        }

        /** Guards against bodies that are held for requests that are refused anyway. */
        @Test
        fun `need no body and can be read by a caller that still sends one`() {
            val gateway = gateway(upstream(), limits = CallerLimits(maxBodyBytes = 2_000_000))
            val head = request("other").replace("Content-Length: 0", "Content-Length: 1500000")
            gateway.connect().use { socket ->
                socket.send(head + "x".repeat(1_000_000))
                assertContains(readAnswer(socket), "404 Not Found")
            }
            val wrong = head.replace("/other/", "/safe/").replace("secret", "wrong")
            gateway.connect().use { socket ->
                socket.send(wrong)
                assertContains(readAnswer(socket), "401 Unauthorized")
            }
            val long = head.replace("1500000", "3000000")
            gateway.connect().use { socket ->
                socket.send(long + "x".repeat(1_000_000))
                assertContains(readAnswer(socket), " 413 ")
            }
        }

        /** Guards against a refusal that is lost in a reset while the caller still sends. */
        @Test
        fun `reach a caller whose body takes longer than a second`() {
            val gateway = gateway(upstream(), limits = CallerLimits(maxBodyBytes = 2_000_000))
            val head = request("other").replace("Content-Length: 0", "Content-Length: 400000")
            gateway.connect().use { socket ->
                socket.send(head)
                repeat(8) {
                    Thread.sleep(300)
                    socket.send("x".repeat(50_000))
                }
                assertContains(readAnswer(socket), "404 Not Found")
            }
        }

        @Test
        fun `of headers that come too slowly`() {
            val limits = CallerLimits(headerTimeout = 200.milliseconds)
            val reply = gateway(upstream(), limits = limits).exchange("POST /safe/x HTTP/1.1\r\n")
            assertContains(reply, "408")
        }
    }

    /** Guards against refusing a request that is inside the published limits. */
    @Nested
    inner class ARequestInsideTheLimits {
        @Test
        fun `is served if its head has very many short fields`() {
            val fields = "a:b\r\n".repeat(3_000)
            assertContains(gateway(upstream()).exchange(request("safe", fields)), " 200 ")
        }
    }

    @Nested
    inner class Answers {
        @Test
        fun `to an earlier request are ignored`() {
            val upstream = upstream { request, socket, number ->
                if (number == 2) socket.send(answer(request, "stray").replace("a2", "a1"))
                socket.send(answer(request, "own$number"))
            }
            val gateway = gateway(upstream)
            gateway.connect().use { socket ->
                socket.send(request("safe", attempt = "a1", close = false))
                assertContains(readAnswer(socket), "own1")
                socket.send(request("safe", attempt = "a2", close = false))
                assertContains(readAnswer(socket), "own2")
            }
        }

        @Test
        fun `without a length are complete if the connection is closed but not if it is reset`() {
            val upstream = upstream { request, socket, number ->
                val head = "HTTP/1.1 200 OK\r\nX-Attempt: ${request.header("X-Attempt")}\r\n"
                socket.send("${head}X-Stamp: s\r\n\r\npart")
                if (number == 1) {
                    socket.close()
                } else {
                    Thread.sleep(100)
                    socket.reset()
                }
            }
            val gateway = gateway(upstream, maxAttempts = 1)
            assertContains(
                gateway.exchange(request("safe")),
                "content-length: 4\r\n",
                ignoreCase = true
            )
            assertContains(gateway.exchange(request("safe")), "502 Bad Gateway")
        }

        @Test
        fun `without the signature header are replaced by a 502`() {
            val upstream = upstream { request, socket, _ ->
                val head = "HTTP/1.1 200 OK\r\nX-Attempt: ${request.header("X-Attempt")}\r\n"
                socket.send("${head}Content-Length: 0\r\n\r\n")
            }
            assertContains(gateway(upstream).exchange(request("unsafe")), "502 Bad Gateway")
        }

        @Test
        fun `that break off in their head are replaced by a 502`() {
            for (length in listOf(20, 40, 55)) {
                val upstream = upstream { request, socket, _ ->
                    socket.send(answer(request, "whole").take(length))
                    socket.close()
                }
                val reply = gateway(upstream).exchange(request("unsafe"))
                assertContains(reply, "502 Bad Gateway")
            }
        }

        @Test
        fun `that break off in their body are replaced by a 502`() {
            val upstream = upstream { request, socket, _ ->
                socket.send(answer(request, "whole").dropLast(2))
                socket.close()
            }
            val reply = gateway(upstream, maxAttempts = 1).exchange(request("unsafe"))
            assertContains(reply, "502 Bad Gateway")
        }

        @Test
        fun `that fail are replaced only where the request may run again`() {
            val failing = upstream { request, socket, _ ->
                socket.send(answer(request, "broken", "500 Internal Server Error"))
            }
            val sound = upstream()
            val gateway = gateway(failing, sound)
            assertTrue(gateway.exchange(request("safe")).endsWith("ok"))
            assertTrue(gateway.exchange(request("unsafe")).endsWith("broken"))
        }
    }

    @Nested
    inner class RequestsThatMayRunOnce {
        @Test
        fun `are answered with 502 and without retry or Retry-After if the connection is lost`() {
            val first = upstream { _, socket, _ -> socket.reset() }
            val second = upstream()
            val reply = gateway(first, second).exchange(request("unsafe"))
            assertContains(reply, "502 Bad Gateway")
            assertFalse(reply.contains("retry-after", ignoreCase = true))
            assertEquals(1, first.requests.size + second.requests.size)
        }

        @Test
        fun `are sent elsewhere when an upstream did not run them`() {
            val full = upstream { request, socket, _ ->
                socket.send(answer(request, "", "503 Service Unavailable", "X-Not-Run: 1\r\n"))
            }
            val reply = gateway(full, upstream()).exchange(request("unsafe"))
            assertTrue(reply.endsWith("ok"))
        }

        @Test
        fun `are refused with 503 when no upstream ran them`() {
            val full = upstream { request, socket, _ ->
                socket.send(answer(request, "", "503 Service Unavailable", "X-Not-Run: 1\r\n"))
            }
            val reply = gateway(full).exchange(request("unsafe"))
            assertContains(reply, "503 Service Unavailable")
            assertContains(reply, "retry-after", ignoreCase = true)
        }
    }

    @Nested
    inner class Streams {
        @Test
        fun `are resumed at another upstream after the last complete event`() {
            val first = upstream { request, socket, _ ->
                socket.send(streamHead(request, "first") + chunk("id: 1\ndata: a\n\nid: 2\nda"))
                Thread.sleep(50)
                socket.reset()
            }
            val second = upstream { request, socket, _ ->
                socket.send(streamHead(request, "second"))
                socket.send(chunk("id: 2\ndata: b\n\n") + LAST_CHUNK)
            }
            val reply = gateway(first, second).exchange(request("stream"))
            assertEquals("1", second.requests.single().header("Last-Event-Id"))
            assertContains(reply, "X-Stamp: first")
            assertContains(reply, "id: 1\ndata: a\n\n")
            assertContains(reply, "id: 2\ndata: b\n\n")
            assertTrue(reply.endsWith(LAST_CHUNK))
        }

        @Test
        fun `that cannot be resumed are cut without their last chunk`() {
            val only = upstream { request, socket, _ ->
                socket.send(streamHead(request) + chunk("id: 1\ndata: a\n\n"))
                Thread.sleep(50)
                socket.reset()
            }
            val reply = gateway(only).exchange(request("stream"))
            assertFalse(reply.endsWith(LAST_CHUNK))
        }

        @Test
        fun `end at the route's timeout`() {
            val slow = upstream { request, socket, _ ->
                socket.send(streamHead(request) + chunk("id: 1\ndata: a\n\n"))
                Thread.sleep(5_000)
            }
            val startedAt = System.nanoTime()
            gateway(slow, timeout = 500.milliseconds).exchange(request("stream"))
            assertTrue(System.nanoTime() - startedAt < 1_500_000_000)
        }
    }

    @Nested
    inner class CallersThatLeave {
        @Test
        fun `free their upstream at once`() {
            val seen = CompletableFuture<Boolean>()
            val upstream = upstream { request, socket, _ ->
                socket.send(streamHead(request) + chunk("id: 1\ndata: a\n\n"))
                seen.complete(runCatching { socket.getInputStream().read() < 0 }.getOrDefault(true))
            }
            val gateway = gateway(upstream)
            gateway.connect().use { socket ->
                socket.send(request("stream"))
                socket.getInputStream().read()
            }
            assertTrue(seen.get(2, TimeUnit.SECONDS))
        }
    }

    @Nested
    inner class AStoppingEntry {
        @Test
        fun `serves new requests and closes each connection after its answer`() {
            val gateway = gateway(upstream())
            val never = Instant.DISTANT_FUTURE
            gateway.emit(GatewayEvent.StopRequested(admissionEndsAt = never, serviceEndsAt = never))
            val reply = gateway.exchange(request("safe", close = false))
            assertContains(reply, "connection: close", ignoreCase = true)
            assertTrue(reply.endsWith("ok"))
        }
    }

    /** Reads one answer that has a Content-Length. */
    private fun readAnswer(socket: Socket): String {
        val input = socket.getInputStream()
        val lines = readHeaderLines(input) ?: return "CLOSED"
        val length = lines.first { it.startsWith("content-length", ignoreCase = true) }
            .substringAfter(':').trim().toInt()
        return lines.joinToString("\n") + "\n\n" + String(input.readNBytes(length))
    }
}
