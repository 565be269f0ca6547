package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import java.io.IOException
import org.shallotplank.config.readRelaySettings
import org.shallotplank.platform.SETTINGS_VARIABLE
import org.shallotplank.platform.runPlatformRelay
import org.shallotplank.runtime.log.configureLogging

/** Runs the relay beside an engine of a rank group. */
internal class RelayCommand : CliktCommand(name = "relay") {
    private val settings by option(
        "--settings",
        metavar = "FILE",
        help = "Settings file of the process",
        envvar = SETTINGS_VARIABLE
    ).path().required()

    override fun help(context: Context): String =
        "Run the relay through which keepers of rank groups reach an engine."

    override fun run() {
        val accepted = acceptedOrFail(readRelaySettings(settings), ExitStatus.USAGE)
        configureLogging(LIBRARY_LEVEL)
        try {
            runPlatformRelay(accepted)
        } catch (e: IOException) {
            fail(ExitStatus.USAGE, "cannot start: ${e.message}")
        }
    }

    private companion object {
        /** Libraries log only what is wrong; the process has a writer of its own. */
        const val LIBRARY_LEVEL = "error"
    }
}
