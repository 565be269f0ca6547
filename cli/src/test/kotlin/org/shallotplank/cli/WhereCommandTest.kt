package org.shallotplank.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketTimeoutException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.test.AfterTest
import kotlin.test.BeforeTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.shallotplank.core.Address
import org.shallotplank.gateway.where.WhereAnswer

/** Asks a running entry, whose only upstream address must never be contacted. */
class WhereCommandTest {
    private val upstream = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val entry =
        LoopbackEntry(Address("127.0.0.1", upstream.localPort), count = UPSTREAMS)

    @BeforeTest
    fun start() {
        entry.start()
        while (!answer("/chat").ready) Thread.sleep(POLL_MILLIS)
    }

    @AfterTest
    fun close() {
        entry.stop()
        upstream.close()
    }

    private fun where(path: String, vararg options: String): CliktCommandTestResult {
        val question = listOf("--entry", "${entry.metrics}", "--host", "h.example", "--path", path)
        return WhereCommand().test(question + options)
    }

    private fun answer(path: String, vararg options: String): WhereAnswer =
        WhereAnswer.decode(where(path, *options, "--json").stdout)

    @Test
    fun `explains the choice within a rank group`() {
        val service = answer("/chat/x", "--customer", "alice").services.single()
        assertEquals("ADMITTED", service.admission.outcome)
        assertEquals(mapOf("LEAVING" to 1), service.excludedByReason)
        // Guards against an answer that grows with the deployment.
        assertEquals(UPSTREAMS - 1, service.candidates.size + service.candidatesLeftOut)
        assertTrue(service.candidatesLeftOut > 0)
        val best = service.candidates.first()
        assertEquals("ring", best.upstream.group)
        assertEquals(best.cost, best.load + best.connectingCost)
    }

    @Test
    fun `says why a request for a plain service is refused`() {
        val refused = where("/order", "--customer", "alice")
        assertEquals(0, refused.statusCode)
        assertContains(refused.stdout, "refused: NO_UPSTREAM")
        assertEquals("NO_ROUTE", answer("/none").refusal)
        assertEquals("UNAUTHORIZED", answer("/chat").refusal)
    }

    @Test
    fun `changes nothing, contacts no upstream and shows no secret`() {
        val options = arrayOf("--customer", "alice", "--token-counts", "9,9", "--length-hint", "5")
        val texts = List(QUESTIONS) { where("/chat", *options, "--time-left-ms", "900").stdout }
        val service = answer("/chat", *options).services.single()
        assertEquals(0, service.admission.running + service.admission.waiting)
        assertEquals(0, service.candidates.sumOf { it.upstream.own })
        upstream.soTimeout = POLL_MILLIS.toInt()
        assertFailsWith<SocketTimeoutException> { upstream.accept() }
        assertFalse(texts.any { LoopbackEntry.SECRET in it || "${upstream.localPort}" in it })
        assertContains(texts.first(), "table upstreams: version 1.1, confirmed")
    }

    @Test
    fun `ends with the statuses of the other commands`() {
        assertEquals(ExitStatus.USAGE.code, where("no-slash").statusCode)
        val wrong = listOf("where", "--entry", "${entry.metrics}", "--host", "h", "--path", "/p")
        assertEquals(ExitStatus.USAGE.code, runCommand(wrong + listOf("--priority", "-1")))
        val post = HttpRequest.newBuilder(URI("http://${entry.metrics}/where?host=h&path=/"))
            .POST(HttpRequest.BodyPublishers.noBody())
            .build()
        val reply = HttpClient.newHttpClient().send(post, HttpResponse.BodyHandlers.discarding())
        assertEquals(405, reply.statusCode())
    }

    private companion object {
        /** Below the limit of `AnswerRate`. */
        const val QUESTIONS = 8

        const val UPSTREAMS = 120
        const val POLL_MILLIS = 50L
    }
}
