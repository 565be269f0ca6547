package org.shallotplank.core.entry

/** Errors of the caller for which a request is rejected before any attempt. */
public enum class Rejection(
    /** HTTP status of the answer. */
    public val status: Int,
    public val detail: String
) {
    UNAUTHORIZED(401, "expected a known customer token in the Authorization header"),
    UNKNOWN_SERVICE(404, "no such service is published"),
    UNKNOWN_OPERATION(404, "the service has no operation with this method and path"),
    IDEMPOTENCY_KEY_REQUIRED(400, "a non-idempotent operation needs an Idempotency-Key header")
}
