package org.shallotplank.gateway.budget

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.CompositeByteBuf

/**
 * Collects a body in segments of its own, each byte of which is copied once.
 *
 * Received parts are slices of read buffers, so that a part of a few bytes may hold a whole buffer;
 * a composite buffer with a bound on its parts copies all of them whenever it reaches the bound.
 * Segments double up to [MAX_SEGMENT_BYTES], so that at most about half of the memory is unused.
 */
internal class HeldBody(
    private val allocator: ByteBufAllocator,
    private val announcedBytes: Long?
) {
    private val content: CompositeByteBuf = allocator.compositeBuffer(Int.MAX_VALUE)
    private var segment: ByteBuf? = null
    private var nextSegmentBytes = FIRST_SEGMENT_BYTES

    /** Number of bytes received. */
    val size: Int get() = content.readableBytes() + (segment?.readableBytes() ?: 0)

    /** Memory that the segments take. */
    var allocatedBytes: Long = 0
        private set

    /** Copies [part], which the caller still has to release. */
    fun append(part: ByteBuf) {
        while (part.isReadable) {
            val current = segment ?: newSegment().also { segment = it }
            current.writeBytes(part, minOf(part.readableBytes(), current.writableBytes()))
            if (!current.isWritable) {
                content.addComponent(true, current)
                segment = null
            }
        }
    }

    /** Returns the whole body, which the receiver releases; nothing may be appended any more. */
    fun complete(): ByteBuf {
        segment?.let { content.addComponent(true, it) }
        segment = null
        return content
    }

    /** Frees the memory of a body that is not passed on. */
    fun release() {
        segment?.release()
        segment = null
        content.release()
    }

    private fun newSegment(): ByteBuf {
        val missing = announcedBytes?.let { it - content.readableBytes() } ?: Long.MAX_VALUE
        val bytes = minOf(nextSegmentBytes.toLong(), missing.coerceAtLeast(1)).toInt()
        nextSegmentBytes = (nextSegmentBytes * 2).coerceAtMost(MAX_SEGMENT_BYTES)
        allocatedBytes += bytes
        return allocator.directBuffer(bytes, bytes)
    }

    private companion object {
        const val FIRST_SEGMENT_BYTES = 1_024
        const val MAX_SEGMENT_BYTES = 65_536
    }
}
