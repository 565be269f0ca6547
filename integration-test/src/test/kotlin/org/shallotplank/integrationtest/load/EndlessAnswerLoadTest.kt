package org.shallotplank.integrationtest.load

import kotlin.test.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested

/**
 * Engines, a store and another entry that send without end to one gateway entry.
 *
 * Guards against a process that keeps what it is sent until its memory ends, and with it the
 * requests of all callers. `TroubledUpstreamTest` covers how one such attempt ends.
 */
internal class EndlessAnswerLoadTest {
    private fun signed(attemptId: String) =
        "HTTP/1.1 200 OK\r\nAttempt-Id: $attemptId\r\nAnswer-Stamp: s\r\n"

    private fun events(attemptId: String) =
        signed(attemptId) + "Content-Type: text/event-stream\r\n"

    /** Engines with [flood] before callers of which half read what they get. */
    private fun assertStaysResponsive(name: String, flood: Flood, path: String = "flood") {
        val engines = List(ENGINES) { FloodingPeer(flood) }
        try {
            LoadedEntry("Endless-$name", 0, IDLE, engines.map { it.address }).use { entry ->
                flooded(entry, path) { entry.verify(name) }
                check(engines.sumOf { it.sentBytes.get() } > 0) { "no request reached an engine" }
                entry.verify("$name, afterwards")
            }
        } finally {
            engines.forEach { it.close() }
        }
    }

    /** Runs [verify] while callers have requests for [path] open. */
    private fun flooded(entry: LoadedEntry, path: String, verify: () -> Unit) {
        val requests = generateSequence(0) { it + 1 }.map { piece(request(path, "l$it")) }
            .iterator()
        val pieces = { listOf(requests.next()).iterator() }
        val readers = ReadingCallers(entry.callers, CALLERS / 2) { request(path, "r$it") }
        val silent = LoadCallers(entry.callers, CALLERS / 2, pieces = pieces)
        try {
            silent.awaitSent(SENDING_TIME)
            Thread.sleep(FLOOD_TIME.inWholeMilliseconds)
            verify()
        } finally {
            silent.close()
            readers.close()
        }
    }

    private fun request(path: String, attemptId: String) =
        "GET /$path/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: $attemptId\r\n\r\n"

    @Nested
    inner class EnginesWithAnEndlessHead {
        @Test
        fun `of short fields`() =
            assertStaysResponsive("short-fields", Flood({ signed(it) + SHORT_FIELDS }))

        @Test
        fun `of short fields before a body that stops`() = assertStaysResponsive(
            "fields-and-body",
            Flood({ signed(it) + SHORT_FIELDS + "Content-Length: 1000000\r\n\r\nabc" })
        )

        @Test
        fun `of one line`() = assertStaysResponsive("line", Flood({ "HTTP/1.1 200 " }, "OK"))

        @Test
        fun `after interim answers`() =
            assertStaysResponsive("interim", Flood({ "" }, "HTTP/1.1 102 Processing\r\n\r\n"))

        @Test
        fun `in a trailer of short fields`() = assertStaysResponsive(
            "trailer",
            Flood({ signed(it) + CHUNKED + "2\r\nok\r\n0\r\n" + SHORT_FIELDS })
        )
    }

    @Nested
    inner class EnginesWithAnEndlessBody {
        @Test
        fun `without a length`() =
            assertStaysResponsive("no-length", Flood({ signed(it) + "\r\n" }, "x"))

        @Test
        fun `with a length`() = assertStaysResponsive(
            "length",
            Flood({ signed(it) + "Content-Length: 100000000000\r\n\r\n" }, "x")
        )

        @Test
        fun `of chunks of one byte`() =
            assertStaysResponsive("chunks", Flood({ signed(it) + CHUNKED }, "1\r\nx\r\n"))

        @Test
        fun `in the size of a chunk`() =
            assertStaysResponsive("chunk-size", Flood({ signed(it) + CHUNKED + "1" }, ";more"))

        @Test
        fun `behind a complete answer`() = assertStaysResponsive(
            "behind",
            Flood({ signed(it) + "Content-Length: 2\r\n\r\nok" }, "x")
        )

        @Test
        fun `of one event`() = assertStaysResponsive(
            "event",
            Flood({ events(it) + CHUNKED + "8\r\ndata: a\n\r\n" }, "2\r\na\n\r\n"),
            path = "flood-stream"
        )

        @Test
        fun `of many events`() = assertStaysResponsive(
            "events",
            Flood({ events(it) + CHUNKED }, "9\r\ndata: a\n\n\r\n"),
            path = "flood-stream"
        )
    }

    /** The entry polls what it takes for another entry several times a second. */
    @Nested
    inner class AnotherEntry {
        private fun assertStaysResponsive(name: String, flood: Flood) =
            FloodingPeer(flood).use { peer ->
                LoadedEntry("Peer-$name", 0, IDLE, seeds = listOf(peer.address)).use { entry ->
                    Thread.sleep(FLOOD_TIME.inWholeMilliseconds * 2)
                    entry.verify(name)
                    check(peer.sentBytes.get() > 0) { "the entry did not ask" }
                }
            }

        @Test
        fun `that sends short fields`() = assertStaysResponsive(
            "short-fields",
            Flood({
                OK_FIELDS
            })
        )

        @Test
        fun `that sends a body without a length`() =
            assertStaysResponsive("no-length", Flood({ "HTTP/1.1 200 OK\r\n\r\n" }, "x"))

        @Test
        fun `that sends chunks of one byte`() =
            assertStaysResponsive("chunks", Flood({ "HTTP/1.1 200 OK\r\n$CHUNKED" }, "1\r\nx\r\n"))

        @Test
        fun `that sends interim answers`() =
            assertStaysResponsive("interim", Flood({ "" }, "HTTP/1.1 102 Processing\r\n\r\n"))

        @Test
        fun `that sends behind a complete answer`() = assertStaysResponsive(
            "behind",
            Flood({ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }, "HTTP/1.1 200 OK\r\n")
        )
    }

    @Nested
    inner class TheStore {
        /** The store floods all calls for changes, and reads are answered. */
        private fun assertStaysResponsive(name: String, flood: Flood) =
            FloodingPeer(flood).use { peer ->
                LoadedEntry("Store-$name", 0, IDLE, floodedChanges = peer.address).use { entry ->
                    Thread.sleep(FLOOD_TIME.inWholeMilliseconds * 2)
                    entry.verify(name)
                    check(peer.sentBytes.get() > 0) { "the entry did not ask" }
                }
            }

        @Test
        fun `that sends short fields`() = assertStaysResponsive(
            "short-fields",
            Flood({
                OK_FIELDS
            })
        )

        @Test
        fun `that sends a body without a length`() =
            assertStaysResponsive("no-length", Flood({ "HTTP/1.1 200 OK\r\n\r\n" }, "x"))

        @Test
        fun `that sends interim answers`() =
            assertStaysResponsive("interim", Flood({ "" }, "HTTP/1.1 102 Processing\r\n\r\n"))
    }

    /** Guards against a relay that keeps what its engine sends faster than its callers read. */
    @Nested
    inner class TheEngineOfARelay {
        @Test
        fun `that sends without end to callers that read and to ones that don't`() =
            LoadedRelay("EndlessRelay").use { relay ->
                val flood = "GET /flood HTTP/1.1\r\n\r\n"
                val readers = ReadingCallers(relay.callers, RELAY_CALLERS / 2) { flood }
                val silent = LoadCallers(relay.callers, RELAY_CALLERS / 2) {
                    listOf(piece(flood)).iterator()
                }
                try {
                    silent.awaitSent(SENDING_TIME)
                    Thread.sleep(FLOOD_TIME.inWholeMilliseconds)
                    check(relay.engine.floodedBytes.get() > 0) { "nothing was forwarded" }
                    relay.verify()
                } finally {
                    silent.close()
                    readers.close()
                }
            }
    }

    private companion object {
        /** Fewer than a relay has connections for. */
        const val RELAY_CALLERS = 100
        const val ENGINES = 4

        /** As many as the entry takes from callers. */
        const val CALLERS = 110
        const val CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"

        /** Nearly as long as a decoder takes a head, which takes up far more memory than that. */
        val SHORT_FIELDS = "a:b\r\n".repeat(1_560)
        val OK_FIELDS = "HTTP/1.1 200 OK\r\n$SHORT_FIELDS"
        val IDLE = 15.seconds
        val SENDING_TIME = 1_500.milliseconds
        val FLOOD_TIME = 1_500.milliseconds
    }
}
