package org.shallotplank.runtime.entry

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.call.RefusalReason
import org.shallotplank.core.call.RunState

/**
 * A problem document as defined by RFC 9457.
 *
 * Its type states whether the request was run: `urn:shallotplank:problem:not-run`,
 * `:may-have-run` or `:ran`. Requests that are rejected because of an error of the caller have
 * the type `:rejected`; they were not run.
 */
@Serializable
internal data class ProblemDocument(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    /** Reason as a stable identifier, such as `overloaded`. */
    val code: String,
    @SerialName("request_id") val requestId: String,
    @SerialName("retry_after_millis") val retryAfterMillis: Long? = null
) {
    companion object {
        const val TYPE_PREFIX = "urn:shallotplank:problem:"

        fun of(refusal: Refusal, requestId: String): ProblemDocument = ProblemDocument(
            type = TYPE_PREFIX + refusal.runState.word,
            title = refusal.runState.title,
            status = refusal.httpStatus.value,
            detail = refusal.detail,
            code = refusal.reason.name.lowercase().replace('_', '-'),
            requestId = requestId,
            retryAfterMillis = refusal.retryAfterMillis.takeIf { it > 0 }
        )

        fun rejected(
            status: Int,
            code: String,
            detail: String,
            requestId: String
        ): ProblemDocument = ProblemDocument(
            type = TYPE_PREFIX + "rejected",
            title = "The request was rejected and not run",
            status = status,
            detail = detail,
            code = code.lowercase().replace('_', '-'),
            requestId = requestId
        )
    }
}

private val RunState.word: String get() = name.lowercase().replace('_', '-')

private val RunState.title: String
    get() = when (this) {
        RunState.NOT_RUN -> "The request was not run"
        RunState.MAY_HAVE_RUN -> "The request may have been run"
        RunState.RAN -> "The request was run, but its answer cannot be given"
    }

/** HTTP status of a refusal. */
internal val Refusal.httpStatus: HttpStatusCode
    get() = when (reason) {
        RefusalReason.CUSTOMER_LIMIT -> HttpStatusCode.TooManyRequests
        RefusalReason.STILL_RUNNING -> HttpStatusCode.Conflict
        RefusalReason.KEY_REUSED, RefusalReason.QUARANTINED -> HttpStatusCode.UnprocessableEntity
        RefusalReason.DEADLINE_EXCEEDED -> HttpStatusCode.GatewayTimeout
        RefusalReason.UPSTREAM_LOST,
        RefusalReason.UPSTREAM_CRASHED,
        RefusalReason.ANSWER_TOO_LARGE -> HttpStatusCode.BadGateway
        else -> HttpStatusCode.ServiceUnavailable
    }
