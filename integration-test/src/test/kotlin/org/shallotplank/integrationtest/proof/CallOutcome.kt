package org.shallotplank.integrationtest.proof

import java.io.IOException
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.shallotplank.integrationtest.HttpReply

/** Outcome of a request as its caller saw it. */
internal sealed interface CallOutcome {
    /** The caller received a complete answer from an upstream. */
    data class Answered(val body: String, val isReplayed: Boolean) : CallOutcome

    /** The caller received a problem document; [type] is the last part of its `type` URN. */
    data class Refused(val type: String, val code: String) : CallOutcome

    /** The connection failed before the answer was complete. */
    data object Cut : CallOutcome
}

/** Runs [call] and returns its outcome; an [IOException] counts as [CallOutcome.Cut]. */
internal suspend fun outcomeOf(call: suspend () -> HttpReply): CallOutcome = try {
    call().outcome()
} catch (_: IOException) {
    CallOutcome.Cut
}

private fun HttpReply.outcome(): CallOutcome {
    if (status == OK) return CallOutcome.Answered(body, "idempotent-replayed" in headers)
    return refusal(body)
}

/** Parses [text] as a problem document. */
internal fun refusal(text: String): CallOutcome.Refused {
    val problem = problemJson.decodeFromString<Problem>(text)
    return CallOutcome.Refused(problem.type.substringAfterLast(':'), problem.code)
}

@Serializable
private data class Problem(
    val type: String,
    val code: String,
    @SerialName("retry_after_millis") val retryAfterMillis: Long = 0
)

private val problemJson = Json { ignoreUnknownKeys = true }
private const val OK = 200
