package org.shallotplank.core.entry

import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.call.Payload

/** A request as received from a caller, with its complete body. */
public data class IncomingCall(
    /** Assigned by the entry; never reused. */
    val requestId: RequestId,
    /** Id that the caller chose for the request; the entry echoes it to the caller. */
    val callerRequestId: String,
    val service: ServiceName,
    val method: String,
    /** Path at the upstream, with its query. */
    val path: String,
    val contentType: String?,
    val body: Payload,
    /** SHA-256 of method, path and body, in lower-case hexadecimal. */
    val digest: String,
    /** SHA-256 of the caller's token, or null when it sent none. */
    val tokenSha256: String?,
    val idempotencyKey: String?,
    /** Fingerprint of the prompt prefix that an upstream may have cached, or null. */
    val prefix: String? = null
)
