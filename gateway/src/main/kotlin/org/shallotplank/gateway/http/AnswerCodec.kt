package org.shallotplank.gateway.http

import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpDecoderConfig

/**
 * The codec for answers of other processes.
 *
 * A head of many short fields takes far more memory than it has bytes, and many peers may leave one
 * unfinished at the same time.
 */
internal fun answerCodec(): HttpClientCodec = HttpClientCodec(
    HttpDecoderConfig()
        .setHeadersFactory(CountedHeadersFactory(MAX_ANSWER_FIELDS))
        .setTrailersFactory(CountedHeadersFactory(MAX_ANSWER_FIELDS)),
    false,
    false
)

/** Far above the fields of any genuine answer. */
private const val MAX_ANSWER_FIELDS = 256
