package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.work.WorkRouting

/**
 * Settings of one gateway entry.
 *
 * @property instance name under which the entry is registered.
 * @property retryRatio maximum ratio of retries to requests over all entries, 0.0 or more.
 * @property retryWindow length of the sliding window in which requests and retries are counted.
 * @property retrySlack retries per window beyond [retryRatio] that all entries together may make.
 * @property reregistrationGrace time that an upstream whose row expired during an outage of the
 *   store has to register again.
 * @property workRouting whether upstreams are chosen by expected work.
 * @property policies the decisions that the entry uses.
 */
public data class GatewaySettings(
    val instance: InstanceId,
    val zone: ZoneName,
    val retryRatio: Double,
    val retryWindow: Duration,
    val retrySlack: Int,
    val reregistrationGrace: Duration = 2.seconds,
    val workRouting: WorkRouting = WorkRouting.AUTO,
    val policies: GatewayPolicies = GatewayPolicies()
)
