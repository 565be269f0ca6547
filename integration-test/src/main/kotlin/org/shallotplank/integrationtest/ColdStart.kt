package org.shallotplank.integrationtest

/**
 * Capacity of an upstream while it warms up.
 *
 * The limit on concurrent requests grows linearly from [coldConcurrency] just after a cold start
 * to [warmConcurrency] after [warmAfterUnits] units of work; a warm upstream has no limit.
 */
internal class ColdStart(
    private val coldConcurrency: Int,
    private val warmConcurrency: Int,
    private val warmAfterUnits: Int,
    startWarm: Boolean = false
) {
    private var doneUnits = if (startWarm) warmAfterUnits else 0

    /** Whether the upstream is cold, that is, crashes above [limit]. */
    val isCold: Boolean get() = doneUnits < warmAfterUnits

    /** Maximum of concurrent requests, or null if the upstream is warm and has no limit. */
    val limit: Int?
        get() {
            if (!isCold) return null
            val growth = (warmConcurrency - coldConcurrency) * doneUnits / warmAfterUnits
            return coldConcurrency + growth
        }

    /** Whether [concurrency] concurrent requests exceed the current [limit]. */
    fun isOverloadedBy(concurrency: Int): Boolean = limit?.let { concurrency > it } ?: false

    /** Records one unit of work, which warms the upstream. */
    fun recordUnit() {
        if (isCold) doneUnits++
    }

    /** Makes the upstream cold again. */
    fun reset() {
        doneUnits = 0
    }
}
