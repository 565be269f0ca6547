package org.shallotplank.gateway

import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.gateway.GatewaySettings

/** The subset of the settings that the reducer uses. */
internal fun GatewayEntrySettings.toReducerSettings(): GatewaySettings = GatewaySettings(
    instance = instanceId,
    zone = zone,
    retryRatio = retryRatio,
    retryWindow = retryWindow,
    retrySlack = retrySlack,
    workRouting = workBasedRouting
)
