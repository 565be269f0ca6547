package org.shallotplank.config

import arrow.core.raise.nullable
import org.shallotplank.core.ZoneName
import org.shallotplank.core.config.ZoneSettings

/** The keys of one table `[[zones]]`; keys that could not be read are null. */
internal class ZoneReading(reader: TableReader) {
    val location: SourceLocation = reader.location(ZoneKeys.inService)
    val name: Located<ZoneName>? = reader.locate(ZoneKeys.name)
    val inService: Boolean? = reader.read(ZoneKeys.inService)
    private val region = reader.read(ZoneKeys.region)

    /** The zone, or null when a key could not be read. */
    val zone: ZoneSettings? = nullable {
        ZoneSettings(
            name = name.bind().value,
            region = region.bind(),
            inService = inService.bind()
        )
    }
}

/** Reads the zones file [document]. */
internal fun readZones(document: TomlDocument): List<ZoneReading> {
    document.checkTopLevel(zonesFileSpec)
    return document.repeated(ZoneKeys.table).map(::ZoneReading)
}
