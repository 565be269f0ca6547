package org.shallotplank.gateway.retention

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.quarantine.Crash
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.core.quarantine.RequestFingerprint

/**
 * What one entry retains in the store, as a row of the entry table.
 *
 * Times are milliseconds of the store's steady clock, since the clocks of processes end with them;
 * null if the store reports no time.
 */
@Serializable
internal class RetainedRow(
    val requests: List<RetainedRequest> = emptyList(),
    val promptCrashes: List<RetainedPromptCrash> = emptyList(),
    val notices: List<RetainedNotice> = emptyList(),
    /** When nothing of the row counts any more. */
    val expiresAtMillis: Long? = null
) {
    fun encode(): String = format.encodeToString(this)

    internal companion object {
        /** Later builds may add fields. */
        private val format = Json { ignoreUnknownKeys = true }

        /** Decodes [value]; throws [kotlinx.serialization.SerializationException] if it cannot. */
        fun decode(value: String): RetainedRow = format.decodeFromString(value)
    }
}

/** The crashes of upstreams that ran one request, or the time at which an answer cleared them. */
@Serializable
internal class RetainedRequest(
    val customer: String,
    val bodySha256: String,
    val crashes: List<RetainedCrash> = emptyList(),
    val isAnswered: Boolean = false,
    val answeredAtMillis: Long? = null
)

/** A crash of an upstream while it ran [attempt]. */
@Serializable
internal class RetainedCrash(val attempt: String, val atMillis: Long? = null)

/** A crash of [upstream] and the prompt parts that may have caused it. */
@Serializable
internal class RetainedPromptCrash(
    val upstream: String,
    val atMillis: Long? = null,
    val parts: List<String> = emptyList(),
    val establishedParts: List<String> = emptyList()
)

/** What one incarnation of an upstream announced to an entry, as of [atMillis]. */
@Serializable
internal class RetainedNotice(
    val id: String,
    val incarnation: Long,
    val atMillis: Long? = null,
    val isLeaving: Boolean = false,
    val pauseLeftMillis: Long? = null,
    val requestsPerSecond: Double? = null,
    /** When the upstream last named [requestsPerSecond]. */
    val limitedAtMillis: Long? = null
)

/**
 * Converts times between the clock of this process and that of the store.
 *
 * @property offset what the store's clock is ahead, null while unknown.
 */
internal class StoreTimes(private val now: Instant, private val offset: Duration?) {
    fun toMillis(at: Instant): Long? = offset?.let { (at + it).toEpochMilliseconds() }

    /** Unknown times, and those in the future of a clock that was set back, become now. */
    fun toInstant(millis: Long?): Instant {
        if (millis == null || offset == null) return now
        return (Instant.fromEpochMilliseconds(millis) - offset).coerceAtMost(now)
    }

    fun isPast(at: Instant): Boolean = at <= now
}

internal fun CrashRecord.toRetained(times: StoreTimes): RetainedRequest = RetainedRequest(
    customer = fingerprint.customer.value,
    bodySha256 = fingerprint.bodySha256,
    crashes = crashes.map { RetainedCrash(it.attempt.value, times.toMillis(it.at)) },
    isAnswered = isAnswered,
    answeredAtMillis = answeredAt.takeIf { isAnswered }?.let(times::toMillis)
)

internal fun RetainedRequest.toRecord(times: StoreTimes, timeToLive: Duration): CrashRecord {
    val counted = crashes.map { Crash(AttemptId(it.attempt), times.toInstant(it.atMillis)) }
    val answeredAt = if (isAnswered) times.toInstant(answeredAtMillis) else Instant.DISTANT_PAST
    return CrashRecord(
        fingerprint = RequestFingerprint(CustomerName(customer), bodySha256),
        crashes = counted.toPersistentList(),
        answeredAt = answeredAt,
        expiresAt = (counted.map { it.at } + answeredAt).max() + timeToLive
    )
}

internal fun PromptCrash.toRetained(times: StoreTimes): RetainedPromptCrash = RetainedPromptCrash(
    upstream = upstream,
    atMillis = times.toMillis(at),
    parts = parts.map { it.value },
    establishedParts = establishedParts.map { it.value }
)

internal fun RetainedPromptCrash.toCrash(times: StoreTimes): PromptCrash = PromptCrash(
    upstream = upstream,
    at = times.toInstant(atMillis),
    parts = parts.map(::PromptPart).toPersistentSet(),
    establishedParts = establishedParts.map(::PromptPart).toPersistentSet()
)
