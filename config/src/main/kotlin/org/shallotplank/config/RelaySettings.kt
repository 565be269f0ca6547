package org.shallotplank.config

import arrow.core.raise.nullable
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId

/** Settings of the relay beside one engine of a rank group. */
public data class RelaySettings(
    val instanceId: InstanceId,
    /** Address that keepers of rank groups connect to. */
    val listenAddress: Address,
    /** Address of the engine on the same machine. */
    val engineAddress: Address
)

/** Keys of the settings of a relay. */
internal object RelayKeys {
    val listenAddress = KeySpec(
        name = "listen_address",
        rule = listenAddress(),
        doc = "Where keepers of rank groups connect; the port is `relay_port` of the gateway " +
            "entries."
    )
    val engineAddress = KeySpec(
        name = "engine_address",
        rule = remoteAddress(),
        doc = "The engine on the same machine."
    )
    val table = TableSpec(
        name = "",
        shape = TableShape.ROOT,
        doc = "Settings of the relay beside one engine.",
        keys = persistentListOf(ProcessKeys.instanceId, listenAddress, engineAddress)
    )
}

/** Settings of a relay. */
internal val relaySettingsSpec = FileSpec("relay settings", persistentListOf(RelayKeys.table))

/** Reads the settings of a relay from [source], with the checks of [readEntrySettings]. */
public fun readRelaySettings(source: SourceFile): Reading<RelaySettings> =
    readSettings(source, relaySettingsSpec) {
        val instanceId = read(ProcessKeys.instanceId)
        val addresses = readDistinct(RelayKeys.listenAddress, RelayKeys.engineAddress)
        nullable {
            RelaySettings(
                instanceId = instanceId.bind(),
                listenAddress = addresses[RelayKeys.listenAddress].bind(),
                engineAddress = addresses[RelayKeys.engineAddress].bind()
            )
        }
    }
