package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path
import kotlin.io.path.isDirectory
import org.shallotplank.config.readConfigurationFiles

/** Checks service, zones and customers files and prints every finding. */
internal class CheckCommand : CliktCommand(name = "check") {
    private val paths by argument("FILE|DIR", help = "Files or directories to check")
        .path()
        .multiple(required = true)

    override fun help(context: Context): String =
        "Check service, zones and customers files and print every finding at once. " +
            "Exits with 0 when there is none, with 1 when there are findings."

    override fun run() {
        val isWhole = paths.all { it.isDirectory() }
        val configuration = acceptedOrFail(
            readConfigurationFiles(paths, complete = isWhole),
            ExitStatus.FAILED
        )
        echo(
            "ok: ${configuration.services.size} services, ${configuration.zones.size} zones, " +
                "${configuration.customers.size} customers"
        )
    }
}
