package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import java.io.IOException
import org.shallotplank.config.readGatewayEntrySettings
import org.shallotplank.platform.SETTINGS_VARIABLE
import org.shallotplank.platform.runPlatformEntry
import org.shallotplank.runtime.log.configureLogging

/** Runs a gateway entry, which forwards requests straight to upstreams. */
internal class GatewayCommand : CliktCommand(name = "gateway") {
    private val settings by option(
        "--settings",
        metavar = "FILE",
        help = "Settings file of the process",
        envvar = SETTINGS_VARIABLE
    ).path().required()

    override fun help(context: Context): String =
        "Run a gateway entry, which forwards requests by host and path to upstreams."

    override fun run() {
        val accepted = acceptedOrFail(readGatewayEntrySettings(settings), ExitStatus.USAGE)
        configureLogging(LIBRARY_LEVEL)
        try {
            runPlatformEntry(accepted, settings)
        } catch (e: IOException) {
            fail(ExitStatus.USAGE, "cannot start: ${e.message}")
        }
    }

    private companion object {
        /** Libraries log only what is wrong; the process has a writer of its own. */
        const val LIBRARY_LEVEL = "error"
    }
}
