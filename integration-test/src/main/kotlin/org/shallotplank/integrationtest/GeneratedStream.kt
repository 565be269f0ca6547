package org.shallotplank.integrationtest

import java.io.IOException
import kotlinx.coroutines.channels.Channel

/** The engine crashed and lost all its sequences. */
internal class EngineCrashedException : IOException("the engine crashed")

/** An injected fault cut off one stream. */
internal class StreamCutException : IOException("the stream was cut")

/** One sequence of the batch; the HTTP call that submitted it reads its tokens. */
internal class GeneratedStream(
    val request: GenerationRequest,
    val caller: CallerRequest,
    val priority: Int,
    val arrival: Long,
    /** Number of leading tokens that the caller already has. */
    private val skipTokens: Int,
    private val cutAfterTokens: Int?
) {
    private val words = TokenGenerator.tokens(request.prompt, request.maxTokens)
    private val output = Channel<NumberedToken>(Channel.UNLIMITED)
    private var position = minOf(skipTokens, words.size)

    /** Number of tokens of the complete answer, skipped ones included. */
    val totalTokens: Int get() = words.size

    /** Whether all tokens have been generated. */
    val isComplete: Boolean get() = position >= words.size

    /** Whether the engine drops the sequence: its caller disconnected or the stream was cut off. */
    @Volatile
    var isCancelled: Boolean = false
        private set

    /** A token and the number of its event, counted from 1. */
    data class NumberedToken(val number: Int, val word: String)

    /** Generates the next token, or cuts the stream off if that fault is due. */
    fun advance() {
        if (isComplete) return
        if (cutAfterTokens != null && position - skipTokens >= cutAfterTokens) {
            fail(StreamCutException())
            isCancelled = true
            return
        }
        output.trySend(NumberedToken(position + 1, words[position]))
        position++
    }

    /** Ends the stream after its last token. */
    fun complete() {
        output.close()
    }

    /** Ends the stream with [cause] before its last token. */
    fun fail(cause: IOException) {
        output.close(cause)
    }

    /** Makes the engine drop the sequence; called when the caller disconnects. */
    fun cancel() {
        isCancelled = true
    }

    /** Passes each token to [consume] until the stream is complete; throws if it fails. */
    suspend fun collect(consume: suspend (NumberedToken) -> Unit) {
        for (token in output) consume(token)
    }
}
