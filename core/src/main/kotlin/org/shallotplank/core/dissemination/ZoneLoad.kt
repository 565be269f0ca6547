package org.shallotplank.core.dissemination

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.ZoneName

/** Coarse load of an availability zone; of two reports the one measured later is kept. */
@Serializable
public data class ZoneLoad(
    @SerialName("z") val zone: ZoneName,
    /** Number of requests that run or wait in the zone. */
    @SerialName("r") val requests: Int,
    /** Number of concurrent requests that the zone's upstreams can currently take. */
    @SerialName("c") val capacityRequests: Int,
    /** Time of the measurement by the reporter's clock, in milliseconds since the Unix epoch. */
    @SerialName("t") val measuredAtMillis: Long
)
