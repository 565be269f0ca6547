package org.shallotplank.bench.simulation

import kotlin.time.Duration
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.quarantine.RequestFingerprint

/** A simulated customer and the rate at which its callers send new requests. */
internal data class BenchCustomer(
    val name: CustomerName,
    val requestsPerSecond: Double,
    val weight: Int = 1
)

/** How one request of a caller ended. */
internal sealed interface Outcome {
    /** The response was complete; [step] is the mean time between its tokens. */
    data class Complete(val firstToken: Duration, val step: Duration) : Outcome

    /** The request was refused; if [final], the caller must not retry it. */
    data class Refused(val final: Boolean, val retryAfter: Duration) : Outcome
}

/** One request of a caller, with all attempts that the receiving entry makes for it. */
internal class Call(
    val customer: BenchCustomer,
    val prompt: Prompt,
    val fingerprint: RequestFingerprint,
    val startedAt: Instant,
    private val onEnd: (Call, Outcome) -> Unit
) {
    var tried: PersistentSet<InstanceId> = persistentSetOf()

    /** Number of attempts that were interrupted while an engine ran them. */
    var cuts = 0
    private var firstTokenAt: Instant? = null

    fun firstToken(now: Instant) {
        if (firstTokenAt == null) firstTokenAt = now
    }

    fun complete(now: Instant, step: Duration) {
        onEnd(this, Outcome.Complete((firstTokenAt ?: now) - startedAt, step))
    }

    fun refuse(final: Boolean, retryAfter: Duration) {
        onEnd(this, Outcome.Refused(final, retryAfter))
    }
}
