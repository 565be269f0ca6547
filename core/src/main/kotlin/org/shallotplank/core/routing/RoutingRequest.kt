package org.shallotplank.core.routing

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.config.Priority

/**
 * Properties of a request that routing depends on.
 *
 * @property zone availability zone of the entry that routes the request.
 * @property prefix prompt prefix that an upstream may have cached, null when unknown.
 * @property excluded upstreams that have already been tried for this request.
 */
public data class RoutingRequest(
    val zone: ZoneName,
    val region: String,
    val service: ServiceName,
    val prefix: PrefixFingerprint? = null,
    val priority: Priority = Priority.INTERACTIVE,
    val excluded: PersistentSet<InstanceId> = persistentSetOf()
)
