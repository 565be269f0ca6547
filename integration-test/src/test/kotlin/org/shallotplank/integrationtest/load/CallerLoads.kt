package org.shallotplank.integrationtest.load

import java.nio.ByteBuffer
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load (a): bodies of legal size in one piece that stop one byte before their end. */
internal class WholeBodyLoadTest : CallerLoad() {
    override fun pieces(place: Place): Sequence<ByteBuffer> =
        sequenceOf(post(place, "Content-Length: ${place.maxBodyBytes}")) +
            bodyPieces(place.maxBodyBytes - 1, place.maxBodyBytes)
}

/** Load (b): bodies in small pieces that stop one byte before their end. */
internal class SmallPiecesLoadTest : CallerLoad() {
    override fun pieces(place: Place): Sequence<ByteBuffer> {
        val bytes = minOf(place.maxBodyBytes, 262_144)
        return sequenceOf(post(place, "Content-Length: $bytes")) + bodyPieces(bytes - 1, 1_024)
    }
}

/** Load (c): bodies in chunks of a few bytes without a last chunk. */
internal class ChunkedLoadTest : CallerLoad() {
    override fun pieces(place: Place): Sequence<ByteBuffer> {
        val chunk = "10\r\n0123456789abcdef\r\n"
        val chunks = ByteBuffer.wrap(chunk.repeat(CHUNKS_PER_PIECE).toByteArray())
        val contentBytes = minOf(place.maxBodyBytes - 1, 400_000)
        return sequenceOf(post(place, "Transfer-Encoding: chunked")) +
            generateSequence { chunks.duplicate() }
                .take(contentBytes / (CHUNKS_PER_PIECE * CHUNK_BYTES))
    }

    private companion object {
        const val CHUNKS_PER_PIECE = 50
        const val CHUNK_BYTES = 16
    }
}

/** Load (d): bodies that are far over the limit, half of them with a length. */
internal class HugeBodyLoadTest : CallerLoad() {
    private var isAnnounced = false

    override fun pieces(place: Place): Sequence<ByteBuffer> {
        isAnnounced = !isAnnounced
        if (isAnnounced) {
            return sequenceOf(post(place, "Content-Length: 1000000000")) +
                bodyPieces(HUGE_BYTES, 65_536)
        }
        val chunk = "10000\r\n" + "0".repeat(65_536) + "\r\n"
        val bytes = ByteBuffer.wrap(chunk.toByteArray())
        return sequenceOf(post(place, "Transfer-Encoding: chunked")) +
            generateSequence { bytes.duplicate() }.take(HUGE_BYTES / 65_536)
    }

    private companion object {
        const val HUGE_BYTES = 8 * 1_048_576
    }
}

/** Load (e): heads of legal size that consist of very many short fields. */
internal class ShortFieldsLoadTest : CallerLoad() {
    override fun pieces(place: Place): Sequence<ByteBuffer> {
        val fields = Array((place.maxHeaderBytes - 200) / SHORT_FIELD.length) { "a:b" }
        return sequenceOf(post(place, "Content-Length: 10", *fields), piece("123456789"))
    }

    private companion object {
        const val SHORT_FIELD = "a:b\r\n"
    }
}

/** Load (f): pipelined requests whose answers are not read. */
internal class PipelinedLoadTest : CallerLoad() {
    override fun callers(place: Place): Int = 20

    override fun pieces(place: Place): Sequence<ByteBuffer> {
        val requests = ByteBuffer.wrap(get(place).repeat(REQUESTS_PER_PIECE).toByteArray())
        return generateSequence { requests.duplicate() }.take(PIECES)
    }

    private companion object {
        const val REQUESTS_PER_PIECE = 100
        const val PIECES = 300
    }
}

/** Load (g): callers that send one byte of a body now and then. */
internal class SlowSendersLoadTest : CallerLoad(pause = 100.milliseconds) {
    override fun callers(place: Place): Int = MANY_CALLERS

    override fun pieces(place: Place): Sequence<ByteBuffer> =
        sequenceOf(post(place, "Content-Length: 1000")) + bodyPieces(999, 1)
}

/** Load (h): callers that do not read their long answer. */
internal class SlowReadersLoadTest : CallerLoad(idleTimeout = 2.seconds, longBytes = 8_388_608) {
    override fun pieces(place: Place): Sequence<ByteBuffer> = sequenceOf(piece(get(place)))
}
