package org.shallotplank.core.admission

import kotlin.time.Instant
import org.shallotplank.core.CustomerName

/** A request of [customer] that was admitted at [since]. */
internal data class RunningRequest(val customer: CustomerName, val since: Instant)
