package org.shallotplank.gateway.caller

import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import io.netty.util.ResourceLeakDetector
import java.util.TreeMap
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TimeSource
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.gateway.budget.MemoryBudget
import org.shallotplank.gateway.budget.ShedCause
import org.shallotplank.gateway.http.CountedHeadersFactory

/**
 * Sends random valid, cut, slow and invalid requests to the decoder and connection of callers.
 *
 * Guards against exceptions that are no refusals, and against memory that is not freed or remains
 * counted. `-Dshallotplank.fuzz.seconds` sets the time, `-Dshallotplank.fuzz.seed` the first seed.
 */
class CallerConnectionFuzz {
    private val seconds = Integer.getInteger("shallotplank.fuzz.seconds", 20)
    private val firstSeed = java.lang.Long.getLong("shallotplank.fuzz.seed", 1)

    @Test
    fun `no exception and no leak`() {
        ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID)
        val start = TimeSource.Monotonic.markNow()
        var seed = firstSeed
        val seen = TreeMap<String, Int>()
        while (start.elapsedNow() < seconds.seconds) {
            FuzzedConnection(seed) { seen.merge(it, 1, Int::plus) }.run()
            seed++
        }
        println("fuzzed connections of callers with the seeds $firstSeed to ${seed - 1}: $seen")
        assertTrue(seen.keys.containsAll(EXPECTED), "not reached: ${EXPECTED - seen.keys}")
    }
}

/** What a run must have reached, so that it tests more than the decoder. */
private val EXPECTED =
    setOf("request", "400", "408", "413", "431", "503", "MEMORY", "FIELDS", "PIPELINED") +
        "SLOW_READER"

/** Lower than a head of the limit can reach, so that the bound on fields is reached. */
private const val MAX_FIELDS = 512

private class FuzzedConnection(private val seed: Long, private val count: (String) -> Unit) :
    CallerListener {
    private val random = Random(seed)
    private val allocator = UnpooledByteBufAllocator(true)
    private var now = Instant.fromEpochSeconds(1_000)
    private val clock = object : Clock {
        override fun now(): Instant = now
    }
    private val budget = MemoryBudget(maxBytes = 150_000, now = clock::now)
    private val channel = EmbeddedChannel().apply { config().setAllocator(allocator) }
    private val connection: CallerConnection
    private val failures = mutableListOf<Throwable>()
    private val unanswered = ArrayDeque<CallerMessage>()
    private val reading = ReadingHandler()

    init {
        val fields = CountedHeadersFactory(MAX_FIELDS)
        connection = CallerConnection(channel, this, clock, budget, fields)
        channel.pipeline()
            .addLast(reading)
            .addLast(ReadActivityHandler(connection))
            .addLast(StrictRequestDecoder(limits.maxHeaderBytes, fields))
            .addLast(HttpResponseEncoder())
            .addLast(connection)
    }

    override val limits
        get() = CallerLimits(
            maxHeaderBytes = 8_192,
            maxBodyBytes = 200_000,
            idleTimeout = 2.seconds
        )

    override val isStopping get() = false

    fun run() {
        repeat(random.nextInt(1, 6)) {
            val bytes = message()
            var from = 0
            while (from < bytes.size && channel.isActive) {
                val to = minOf(bytes.size, from + pieceSize())
                channel.writeInbound(allocator.directBuffer().writeBytes(bytes, from, to - from))
                from = to
                act()
            }
        }
        while (random.nextInt(3) > 0) act()
        reading.isReading = true
        channel.flush()
        channel.finishAndReleaseAll()
        unanswered.forEach { it.body.release() }
        failures.firstOrNull()?.let { throw AssertionError("seed $seed", it) }
        assertEquals(0, budget.usedBytes, "seed $seed: counted bytes")
        assertEquals(0, allocator.metric().usedDirectMemory(), "seed $seed: direct memory")
        assertEquals(0, allocator.metric().usedHeapMemory(), "seed $seed: heap memory")
    }

    private fun act() {
        when (random.nextInt(13)) {
            0 -> now += random.nextInt(1, 5_000).milliseconds
            1 -> connection.closeIfOverdue(now)
            2 -> budget.sweep()
            3, 4 -> channel.releaseOutbound()
            5, 6 -> answer()
            7 -> if (random.nextInt(20) == 0) connection.cut()
            9 -> reading.isReading = random.nextBoolean()
            10 -> channel.flush()
            8 -> if (random.nextInt(20) == 0) connection.replace()
        }
        channel.runPendingTasks()
    }

    private fun answer() {
        val message = unanswered.removeFirstOrNull() ?: return
        message.body.release()
        if (!channel.isActive) return
        if (random.nextBoolean()) {
            connection.sendError(503, "overloaded", retryAfter = 1.seconds)
        } else {
            val content = allocator.directBuffer().writeZero(random.nextInt(100_000))
            connection.sendWhole(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, content)
            )
        }
    }

    private fun pieceSize(): Int = when (random.nextInt(3)) {
        0 -> random.nextInt(1, 20)
        1 -> random.nextInt(1, 2_000)
        else -> random.nextInt(1, 50_000)
    }

    private fun message(): ByteArray {
        val bytes = request()
        if (random.nextInt(4) == 0) {
            repeat(random.nextInt(1, 4)) {
                bytes[random.nextInt(bytes.size)] = random.nextInt(256).toByte()
            }
        }
        val isCut = random.nextInt(4) == 0
        return if (isCut) bytes.copyOf(random.nextInt(1, bytes.size + 1)) else bytes
    }

    private fun request(): ByteArray {
        if (random.nextInt(20) == 0) {
            return "GET /taken HTTP/1.1\r\nHost: h.example\r\n\r\n".repeat(300).toByteArray()
        }
        val size = random.nextInt(0, if (random.nextInt(5) == 0) 250_000 else 3_000)
        val isChunked = random.nextBoolean()
        val target = if (random.nextInt(4) == 0) "/refused" else "/taken"
        val head = buildString {
            append("POST $target HTTP/1.1\r\nHost: h.example\r\n")
            repeat(random.nextInt(0, if (random.nextInt(5) == 0) 700 else 10)) { append("a:b\r\n") }
            if (random.nextInt(8) == 0) append("Expect: 100-continue\r\n")
            if (random.nextInt(8) == 0) append("Connection: close\r\n")
            append(if (isChunked) "Transfer-Encoding: chunked\r\n" else "Content-Length: $size\r\n")
            append("\r\n")
        }
        return head.toByteArray() + if (isChunked) chunked(size) else ByteArray(size)
    }

    private fun chunked(size: Int): ByteArray = buildString {
        var left = size
        while (left > 0) {
            val chunk = random.nextInt(1, minOf(left, 5_000) + 1)
            append(chunk.toString(16)).append("\r\n").append("x".repeat(chunk)).append("\r\n")
            left -= chunk
        }
        append("0\r\n\r\n")
    }.toByteArray()

    override fun isRefusedBeforeBody(request: HttpRequest): Boolean = request.uri() == "/refused"

    override fun onRequest(connection: CallerConnection, message: CallerMessage) {
        count("request")
        if (message.uri == "/refused" || random.nextInt(3) == 0) {
            message.body.release()
            connection.sendError(404, "no_route", retryAfter = null)
        } else {
            unanswered += message
        }
    }

    override fun onShed(connection: CallerConnection, cause: ShedCause): Unit = count(cause.name)

    override fun onInvalid(connection: CallerConnection, status: Int, detail: String): Unit =
        count("$status")

    override fun onFailure(connection: CallerConnection, cause: Throwable) {
        failures += cause
    }

    override fun onClosed(connection: CallerConnection, isAnswerOpen: Boolean) =
        ReferenceCountUtil.release(unanswered.removeFirstOrNull()?.body).let { }

    override fun onWritable(connection: CallerConnection, isWritable: Boolean) = Unit
}

/** Keeps what is written in the channel while the caller does not read. */
private class ReadingHandler : ChannelOutboundHandlerAdapter() {
    var isReading = true

    override fun flush(context: ChannelHandlerContext) {
        if (isReading) context.flush()
    }
}
