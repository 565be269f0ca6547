package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/**
 * What one gateway entry is told at its start.
 *
 * @property instance name under which the entry is registered.
 * @property retryRatio retries per request that all entries together may add, 0.0 or more.
 * @property retryWindow span over which the retries are counted.
 * @property retrySlack retries in any window that are free, over all entries.
 * @property reregistrationGrace how long an upstream that went missing while the store was away
 *   may take to register again.
 */
public data class GatewaySettings(
    val instance: InstanceId,
    val zone: ZoneName,
    val retryRatio: Double,
    val retryWindow: Duration,
    val retrySlack: Int,
    val reregistrationGrace: Duration = 2.seconds
)
