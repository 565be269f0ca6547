package org.shallotplank.runtime.entry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/** Response body of `GET /v1/entries`: the entry instances in order of preference. */
@Serializable
internal data class EntryList(
    /** Time for which callers may cache the list, in seconds. */
    @SerialName("ttl_seconds") val ttlSeconds: Long,
    val entries: List<EntryAddress>
)

/** Address at which callers connect to an entry instance. */
@Serializable
internal data class EntryAddress(
    val instance: InstanceId,
    val zone: ZoneName,
    val host: String,
    val port: Int
)
