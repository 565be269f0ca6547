package org.shallotplank.core.quarantine

import kotlinx.serialization.Serializable
import org.shallotplank.core.CustomerName

/** Identifies a request by content: requests of one customer with the same body share it. */
@Serializable
public data class RequestFingerprint(val customer: CustomerName, val bodySha256: String)
