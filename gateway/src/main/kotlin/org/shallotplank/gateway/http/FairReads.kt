package org.shallotplank.gateway.http

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

/** Reads little from one connection at a time, so that one that sends much delays no others. */
internal fun fairReads(): RecvByteBufAllocator =
    AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
        .maxMessagesPerRead(1)

private const val MIN_READ_BYTES = 512
private const val FIRST_READ_BYTES = 2_048
private const val MAX_READ_BYTES = 16_384
