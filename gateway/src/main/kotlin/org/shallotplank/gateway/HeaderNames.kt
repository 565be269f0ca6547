package org.shallotplank.gateway

/**
 * Names of the headers that the gateway exchanges with callers and upstreams.
 *
 * @property attemptId id that a caller gives to one attempt, echoed by upstreams.
 * @property timeLeftMillis remaining time that the sender waits, in milliseconds.
 * @property credential secret of the caller; never passed on.
 * @property customer name of the credential's holder, set by the gateway alone.
 * @property expectedUpstream id of the addressed upstream; any other upstream refuses.
 * @property requestPriority rank of the request at an engine.
 * @property notRun present on answers of upstreams that did not run the request.
 * @property engineLoad running requests, waiting requests and slots of the answering engine.
 * @property leaving "1" on answers of an upstream that takes no further requests.
 * @property pauseSeconds seconds for which an upstream that answered 503 is to get no requests.
 * @property signature present on each answer that an upstream made.
 * @property lastEventId id of the last event of a stream that the caller received.
 * @property requestRate requests per second that an upstream accepts from all entries together.
 * @property promptParts parts of the prompt in order, as comma-separated `id:tokens` entries.
 * @property tokenCounts tokens of the prompt and the maximum of the answer, as `PROMPT,MAX_OUTPUT`.
 * @property lengthHint the caller's estimate of the tokens of the answer.
 */
public data class HeaderNames(
    val attemptId: String,
    val timeLeftMillis: String,
    val credential: String,
    val customer: String,
    val expectedUpstream: String,
    val requestPriority: String,
    val notRun: String,
    val engineLoad: String,
    val leaving: String,
    val pauseSeconds: String,
    val signature: String,
    val lastEventId: String,
    val promptParts: String,
    val requestRate: String,
    val tokenCounts: String,
    val lengthHint: String
)
