package org.shallotplank.integrationtest.proof

import java.io.IOException
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.withTimeoutOrNull
import org.shallotplank.integrationtest.EventStream
import org.shallotplank.integrationtest.ServerSentEvent
import org.shallotplank.integrationtest.TokenEvent
import org.shallotplank.integrationtest.TokenGenerator
import org.shallotplank.integrationtest.standInJson

/** Outcome of a streamed request as its caller saw it. */
internal sealed interface StreamOutcome {
    /** The caller received all tokens of the prompt in order and then the end event. */
    data object Whole : StreamOutcome

    /** The connection failed; all tokens received before were correct. */
    data object Cut : StreamOutcome

    /** The caller received a problem document instead of a stream. */
    data class Refused(val refusal: CallOutcome.Refused) : StreamOutcome

    /** A violation: an unexpected event, a timeout, or a regular end without the end event. */
    data class Wrong(val what: String) : StreamOutcome
}

/** Opens a stream and compares its events with the expected tokens of [prompt]. */
internal suspend fun streamOutcome(
    prompt: String,
    maxTokens: Int,
    open: suspend () -> EventStream
): StreamOutcome = try {
    withTimeoutOrNull(LONGEST_ANSWER) {
        open().use { stream ->
            if (stream.status == OK) {
                stream.compareWith(TokenGenerator.tokens(prompt, maxTokens))
            } else {
                StreamOutcome.Refused(refusal(stream.text()))
            }
        }
    } ?: StreamOutcome.Wrong("the stream neither ended nor failed within $LONGEST_ANSWER")
} catch (_: IOException) {
    StreamOutcome.Cut
}

private suspend fun EventStream.compareWith(tokens: List<String>): StreamOutcome {
    tokens.forEachIndexed { index, token ->
        val event = next() ?: return StreamOutcome.Wrong("ended before token ${index + 1}")
        if (!event.isToken(index + 1, token)) {
            return StreamOutcome.Wrong("expected $token as token ${index + 1}, got $event")
        }
    }
    val end = next() ?: return StreamOutcome.Wrong("ended without its end event")
    val rest = next()
    val isWhole = end.name == "end" && rest == null
    return if (isWhole) StreamOutcome.Whole else StreamOutcome.Wrong("ended with $end, $rest")
}

private fun ServerSentEvent.isToken(number: Int, token: String): Boolean =
    id == number && name == null && standInJson.decodeFromString<TokenEvent>(data).token == token

/** Deadline of the operation in the example configuration plus a margin for a busy machine. */
private val LONGEST_ANSWER = 65.seconds
private const val OK = 200
