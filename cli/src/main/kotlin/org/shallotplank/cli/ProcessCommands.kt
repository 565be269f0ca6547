package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import java.io.IOException
import java.nio.file.Path
import org.shallotplank.config.AgentSettings
import org.shallotplank.config.EntrySettings
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.config.Reading
import org.shallotplank.config.RelaySettings
import org.shallotplank.config.readAgentSettings
import org.shallotplank.config.readEntrySettings
import org.shallotplank.config.readGatewayEntrySettings
import org.shallotplank.config.readRelaySettings
import org.shallotplank.platform.SETTINGS_VARIABLE
import org.shallotplank.platform.runPlatformEntry
import org.shallotplank.platform.runPlatformRelay
import org.shallotplank.runtime.log.configureLogging
import org.shallotplank.runtime.runAgent
import org.shallotplank.runtime.runEntry

/** A command that runs a process of the system until it is stopped. */
internal abstract class ProcessCommand<T>(
    name: String,
    private val description: String,
    private val read: (Path) -> Reading<T>,
    private val serve: (T, Path) -> Unit,
    settingsVariable: String? = null
) : CliktCommand(name = name) {
    private val settings by option(
        "--settings",
        metavar = "FILE",
        help = "Settings file of the process",
        envvar = settingsVariable
    ).path().required()

    override fun help(context: Context): String = description

    override fun run() {
        val accepted = acceptedOrFail(read(settings), ExitStatus.USAGE)
        try {
            serve(accepted, settings)
        } catch (e: IOException) {
            fail(ExitStatus.USAGE, "cannot start: ${e.message}")
        } catch (e: IllegalArgumentException) {
            fail(ExitStatus.USAGE, "cannot start: ${e.message}")
        }
    }
}

/** Runs an entry instance. */
internal class EntryCommand :
    ProcessCommand<EntrySettings>(
        name = "entry",
        description = "Run an entry instance, which callers connect to.",
        read = { readEntrySettings(it) },
        serve = { settings, _ -> runEntry(settings) }
    )

/** Runs the agent beside an upstream. */
internal class AgentCommand :
    ProcessCommand<AgentSettings>(
        name = "agent",
        description = "Run the agent beside an upstream.",
        read = { readAgentSettings(it) },
        serve = { settings, _ -> runAgent(settings) }
    )

/** Runs a gateway entry, which forwards requests by host and path directly to upstreams. */
internal class GatewayCommand :
    ProcessCommand<GatewayEntrySettings>(
        name = "gateway",
        description = "Run a gateway entry, which forwards requests by host and path to upstreams.",
        read = { readGatewayEntrySettings(it) },
        serve = { settings, file ->
            configureLogging(LIBRARY_LEVEL)
            runPlatformEntry(settings, file)
        },
        settingsVariable = SETTINGS_VARIABLE
    )

/** Runs the relay beside an engine of a rank group. */
internal class RelayCommand :
    ProcessCommand<RelaySettings>(
        name = "relay",
        description = "Run the relay through which keepers of rank groups reach an engine.",
        read = { readRelaySettings(it) },
        serve = { settings, _ ->
            configureLogging(LIBRARY_LEVEL)
            runPlatformRelay(settings)
        },
        settingsVariable = SETTINGS_VARIABLE
    )

/** Log level of libraries; gateway entries and relays write their own logs by another writer. */
private const val LIBRARY_LEVEL = "error"
