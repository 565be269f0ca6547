package org.shallotplank.gateway.http

import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Headers that accept at most [maxFields] fields from the decoder.
 *
 * A field takes about [FIELD_BYTES] beyond its characters while it is parsed, so that a head of
 * many short fields takes far more memory than it has bytes. [weightBytes] counts in the budget.
 */
internal class CountedHeaders(private val maxFields: Int) : DefaultHttpHeaders() {
    private var fields = 0
    private var characters = 0L

    /** Estimated memory of the fields. */
    val weightBytes: Long get() = fields * FIELD_BYTES + characters

    override fun add(name: CharSequence, value: Any): HttpHeaders {
        if (++fields > maxFields) throw TooManyFieldsException(maxFields)
        characters += name.length + value.toString().length
        return super.add(name, value)
    }

    companion object {
        const val FIELD_BYTES = 320L
    }
}

/** A head has more than [maxFields] fields. */
internal class TooManyFieldsException(maxFields: Int) :
    TooLongFrameException("more than $maxFields fields")

/** Makes [CountedHeaders] for one decoder. */
internal class CountedHeadersFactory(private val maxFields: Int) : HttpHeadersFactory {
    /** The headers made last, which may still be filled. */
    var latest: CountedHeaders? = null
        private set

    /** Frees the memory of the fields, which the decoder holds on to until the body has ended. */
    fun clearLatest() {
        latest?.clear()
        latest = null
    }

    override fun newHeaders(): HttpHeaders = CountedHeaders(maxFields).also { latest = it }

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()
}

/** Largest number of fields in a head of [maxHeaderBytes]. */
internal fun maxFieldsIn(maxHeaderBytes: Int): Int = maxHeaderBytes / MIN_FIELD_BYTES

/** A name of one letter, a colon and the line end. */
private const val MIN_FIELD_BYTES = 4
