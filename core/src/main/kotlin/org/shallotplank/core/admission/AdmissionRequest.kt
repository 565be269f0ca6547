package org.shallotplank.core.admission

import kotlin.time.Instant
import org.shallotplank.core.CustomerName
import org.shallotplank.core.RequestId
import org.shallotplank.core.config.Priority

/**
 * Properties of a request that its admission depends on.
 *
 * @property weight share of its customer relative to other customers.
 * @property startBy latest time at which starting it is still useful to the caller.
 * @property maxRunning maximum number of requests of its customer that may run at once.
 */
public data class AdmissionRequest(
    val id: RequestId,
    val customer: CustomerName,
    val startBy: Instant,
    val weight: Int = 1,
    val priority: Priority = Priority.INTERACTIVE,
    val maxRunning: Int = Int.MAX_VALUE
)
