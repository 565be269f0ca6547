package org.shallotplank.core.gateway

import kotlin.time.Instant
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName

/**
 * An upstream as it registered itself.
 *
 * @property incarnation start of its process; another value is another process, even under the
 *   same [id].
 * @property slots requests that it runs at once.
 * @property isLeaving whether it asked for no further requests.
 */
public data class UpstreamRecord(
    val id: InstanceId,
    val incarnation: Long,
    val service: ServiceName,
    val address: Address,
    val zone: ZoneName,
    val slots: Int,
    val isLeaving: Boolean,
    val group: GroupMembership? = null
)

/** Place of an upstream in a rank group of [size] ranks. */
public data class GroupMembership(val name: String, val rank: Int, val size: Int)

/** An upstream that was listed, and since when it is missing from the list, if it is. */
public data class ListedUpstream(val record: UpstreamRecord, val missingSince: Instant? = null)
