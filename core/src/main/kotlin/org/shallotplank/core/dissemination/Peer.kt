package org.shallotplank.core.dissemination

import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/** Another process of the system that this one exchanges messages with. */
public data class Peer(val id: InstanceId, val zone: ZoneName, val region: String)
