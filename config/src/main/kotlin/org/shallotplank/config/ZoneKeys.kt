package org.shallotplank.config

import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.ZoneName

/** Keys of each table `[[zones]]`. */
internal object ZoneKeys {
    val name = KeySpec(
        name = "name",
        rule = name(::ZoneName),
        doc = "Name of the availability zone, as instances give it in their settings. Unique."
    )
    val region = KeySpec(
        name = "region",
        rule = name { it },
        doc = "Region that the zone lies in."
    )
    val inService = KeySpec(
        name = "in_service",
        rule = flag(),
        default = true,
        doc = "Whether the zone gets new work. Set it to false and publish to take the zone out; " +
            "requests in flight there are finished. At least one zone stays in service."
    )
    val table = TableSpec(
        name = "zones",
        shape = TableShape.REPEATED,
        doc = "One availability zone. Its presence makes the file the zones file.",
        keys = persistentListOf(name, region, inService)
    )
}

/** The zones file: all availability zones. */
internal val zonesFileSpec = FileSpec("zones file", persistentListOf(ZoneKeys.table))
