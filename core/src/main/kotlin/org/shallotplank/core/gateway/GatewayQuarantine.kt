package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.Step
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.core.quarantine.PartQuarantine
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.quarantine.QuarantineVerdict
import org.shallotplank.core.quarantine.RequestFingerprint
import org.shallotplank.core.then

/** Key under which the quarantine counts crashes of upstreams that ran this request. */
internal val GatewayCall.fingerprint: RequestFingerprint
    get() = RequestFingerprint(customer ?: ANONYMOUS, request.bodySha256)

/** Whether [call] is refused because it, or a part of its prompt, crashed upstreams. */
internal fun GatewayState.isQuarantined(call: GatewayCall, now: Instant): Boolean =
    quarantine.verdict(call.fingerprint, now) == QuarantineVerdict.QUARANTINED ||
        partQuarantine.refusedPart(call.request.sharedParts) != null

internal fun GatewayState.onUpstreamCrashed(
    key: UpstreamKey,
    context: GatewayContext
): GatewayStep {
    val now = context.now
    val upstream = upstreams[key] ?: return Step(this)
    val recent = upstream.suspects.filter { now - it.at < CRASH_ATTRIBUTION_WINDOW }
    val updatedQuarantine = recent.fold(quarantine) { known, suspect ->
        known.crashed(suspect.fingerprint, suspect.attempt, now)
    }
    val parts = recent.flatMap { it.sharedParts }.toPersistentSet()
    val shared = recent.mapNotNull { updatedQuarantine.records[it.fingerprint] }.distinct()
        .map { GatewayEffect.ShareCrash(it) }
    val record = logRecord(
        LogEvent.GATEWAY_UPSTREAM_CRASHED,
        "upstream" to key,
        "suspects" to recent.size,
        "attempts" to recent.joinToString(",") { it.attempt.value },
        "request_digests" to recent.map { it.fingerprint.logged }.distinct().joinToString(","),
        "prompt_parts" to parts.joinToString(",")
    )
    val cleared = copy(quarantine = updatedQuarantine)
        .put(upstream.failed(now).copy(suspects = upstream.suspects.clear()))
    return Step(cleared, (shared + GatewayEffect.Log(record)).toPersistentList())
        .then { it.onPromptCrash(PromptCrash("$key", now, parts)) }
        .then { it.refuseQuarantined(context) }
}

private fun GatewayState.onPromptCrash(crash: PromptCrash): GatewayStep {
    val step = withPartQuarantine(partQuarantine.merge(crash))
    if (crash.parts.isEmpty()) return step
    return step.then { it.effect(GatewayEffect.RetainPromptCrash(crash.upstream)) }
}

internal fun GatewayState.onCrashLearned(
    record: CrashRecord,
    context: GatewayContext
): GatewayStep {
    val merged = quarantine.merge(record)
    val before = quarantine.records[record.fingerprint]?.crashes.orEmpty()
    val after = merged.records[record.fingerprint]?.crashes.orEmpty()
    if (before.size == after.size) return Step(copy(quarantine = merged))
    val line = logRecord(
        LogEvent.GATEWAY_CRASH_LEARNED,
        "attempts" to record.crashes.joinToString(",") { it.attempt.value },
        "customer" to record.fingerprint.customer,
        "request_digest" to record.fingerprint.logged,
        "verdict" to merged.verdict(record.fingerprint, context.now)
    )
    return copy(quarantine = merged).logged(line).then { it.refuseQuarantined(context) }
}

internal fun GatewayState.onPromptCrashesLearned(
    crashes: List<PromptCrash>,
    context: GatewayContext
): GatewayStep {
    val merged = crashes.fold(partQuarantine) { known, crash -> known.merge(crash) }
    return withPartQuarantine(merged).then { it.refuseQuarantined(context) }
}

/** Stores [changed] and logs the parts that are refused, or not any more, from now on. */
private fun GatewayState.withPartQuarantine(changed: PartQuarantine): GatewayStep {
    val refused = changed.refused.removeAll(partQuarantine.refused)
    val released = partQuarantine.refused.removeAll(changed.refused)
    val state = copy(partQuarantine = changed)
    if (refused.isEmpty() && released.isEmpty()) return Step(state)
    return state.logged(
        logRecord(
            LogEvent.GATEWAY_PROMPT_PARTS_REFUSED,
            "refused" to refused.joinToString(","),
            "released" to released.joinToString(","),
            "crashes" to changed.crashes.size
        )
    )
}

/** Records that an upstream answered [call] with [status] and stayed up. */
internal fun GatewayState.withAnswered(call: GatewayCall, status: Int, now: Instant): GatewayStep {
    val wasSuspect = quarantine.records[call.fingerprint]?.crashes.orEmpty().isNotEmpty()
    val cleared = copy(quarantine = quarantine.answered(call.fingerprint, now))
    val shared = cleared.quarantine.records[call.fingerprint]
        ?.takeIf { wasSuspect }
        ?.let { GatewayEffect.ShareCrash(it) }
    val step = Step(cleared, listOfNotNull(shared).toPersistentList())
    if (status !in SUCCESSES) return step
    return step.then {
        it.withPartQuarantine(it.partQuarantine.answered(call.request.sharedParts, now))
    }
}

/**
 * Clears the prompt parts of the streams that have been delivered for a while.
 *
 * Streams last long, and a crash of another upstream of the group breaks them off, so that hardly
 * one would end between two crashes.
 */
internal fun GatewayState.clearDeliveredParts(context: GatewayContext): GatewayStep {
    val delivered = calls.values.filter { call ->
        val sent = call.phase as? GatewayPhase.Sent
        sent?.begunAt != null && !sent.isProven && context.now - sent.begunAt >= PROVING_TIME
    }
    return delivered.fold(GatewayStep(this)) { step, call ->
        step.then { state ->
            val sent = call.phase as GatewayPhase.Sent
            state.put(call.copy(phase = sent.copy(isProven = true))).withPartQuarantine(
                state.partQuarantine.answered(call.request.sharedParts, context.now)
            )
        }
    }
}

/** Ends the waiting calls that are quarantined. */
private fun GatewayState.refuseQuarantined(context: GatewayContext): GatewayStep {
    val waiting = calls.values.filter {
        it.phase == GatewayPhase.Queued && isQuarantined(it, context.now)
    }
    return waiting.fold(GatewayStep(this)) { step, call ->
        step.then { it.endWithoutAnswer(call, GatewayRefusal.QUARANTINED, context) }
    }
}

/** Drops expired crashes. */
internal fun GatewayState.expireQuarantine(now: Instant): GatewayStep =
    copy(quarantine = quarantine.expire(now)).withPartQuarantine(partQuarantine.expire(now))

/** Start of the digest, which tells requests apart in a log line. */
private val RequestFingerprint.logged: String get() = bodySha256.take(LOGGED_DIGEST_LENGTH)

private const val LOGGED_DIGEST_LENGTH = 12
private val SUCCESSES = 200..299

/** A crash detected within this time after an attempt was lost is attributed to its request. */
private val CRASH_ATTRIBUTION_WINDOW = 1_500.milliseconds

/** An engine that a prompt crashes goes down with the first tokens of the answer. */
private val PROVING_TIME = 250.milliseconds

/** Long, since waiting does not make a request that crashed upstreams more likely to succeed. */
internal val QUARANTINE_RETRY_AFTER: Duration = 60.seconds
