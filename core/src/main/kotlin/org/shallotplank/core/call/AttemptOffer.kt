package org.shallotplank.core.call

import kotlinx.serialization.Serializable
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.config.Priority

/** One attempt to run a request, which an entry offers to the agent of an upstream. */
@Serializable
public data class AttemptOffer(
    val requestId: RequestId,
    val attemptId: AttemptId,
    val service: ServiceName,
    val customer: CustomerName,
    val method: String,
    /** Path at the upstream, including the query. */
    val path: String,
    val contentType: String? = null,
    val body: Payload = Payload.Empty,
    /** SHA-256 of method, path and body, in lower-case hexadecimal. */
    val digest: String,
    /** Null for idempotent operations. */
    val idempotencyKey: String? = null,
    val streamed: Boolean = false,
    val priority: Priority = Priority.INTERACTIVE,
    /** Weight of the customer's fair share relative to other customers. */
    val weight: Int = 1,
    /** Time left until the caller's deadline when the offer was sent, in milliseconds. */
    val remainingMillis: Long,
    /** Number of the last event that the caller received; the upstream resumes after it. */
    val lastEventId: Long = 0,
    /** The request id that the caller chose, forwarded to the upstream. */
    val callerRequestId: String = ""
)
