package org.shallotplank.core.quarantine

import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.shallotplank.core.AttemptId
import org.shallotplank.core.config.SerializableList

/** A crash of an upstream while it ran [attempt]. */
@Serializable
public data class Crash(val attempt: AttemptId, val at: Instant)

/**
 * Crashes of upstreams while they ran one request, with an expiry.
 *
 * The result of merging the records of several entries does not depend on order or repetition.
 *
 * @property crashes the latest ones, one per attempt, at most [CRASHES_TO_QUARANTINE].
 * @property answeredAt when the request was last answered; crashes before that do not count.
 */
@Serializable
public data class CrashRecord(
    val fingerprint: RequestFingerprint,
    val crashes: SerializableList<Crash> = persistentListOf(),
    val answeredAt: Instant = Instant.DISTANT_PAST,
    val expiresAt: Instant = Instant.DISTANT_PAST
) {
    /** Whether the request was answered at any time. */
    val isAnswered: Boolean get() = answeredAt > Instant.DISTANT_PAST
}

/** Crashes after which a request is refused. */
public const val CRASHES_TO_QUARANTINE: Int = 2
