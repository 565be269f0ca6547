package org.shallotplank.core.gateway

import kotlin.time.Instant
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName

/**
 * Registration of an upstream in the store.
 *
 * @property incarnation start of its process; another value means another process, even under the
 *   same [id].
 * @property slots maximum number of requests that it runs concurrently.
 * @property isLeaving whether it is leaving and takes no further requests.
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
) {
    /** Identifies this incarnation of the upstream. */
    public val key: UpstreamKey get() = UpstreamKey(id, incarnation)
}

/** Membership of an upstream in a rank group of [size] ranks. */
public data class GroupMembership(val name: String, val rank: Int, val size: Int)

/**
 * An upstream from the list of registered upstreams.
 *
 * @property missingSince end of the last outage of the store, if its row was missing after it;
 *   null while the row is listed.
 */
public data class ListedUpstream(val record: UpstreamRecord, val missingSince: Instant? = null)
