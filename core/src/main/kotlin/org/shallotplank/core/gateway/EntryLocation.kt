package org.shallotplank.core.gateway

import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

/** An entry that is registered or sends reports, and the zone in which it runs. */
public data class EntryLocation(val instance: InstanceId, val zone: ZoneName)
