package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption
import kotlin.system.exitProcess

/** Runs the command that [args] name and ends the process with its exit status. */
public fun main(args: Array<String>): Unit = exitProcess(runCommand(args.asList()))

/** Runs the command that [args] name and returns its exit status. */
internal fun runCommand(args: List<String>): Int {
    val command = shallotplankCommand()
    return try {
        command.parse(args)
        SUCCESS
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        if (e.isWrongUsage) ExitStatus.USAGE.code else e.statusCode
    }
}

/** Whether the error is wrong usage, which Clikt ends with the code of [ExitStatus.FAILED]. */
private val CliktError.isWrongUsage: Boolean
    get() = this is UsageError || (this is PrintHelpMessage && error)

/** The command with all its subcommands. */
internal fun shallotplankCommand(): CliktCommand = ShallotplankCommand().subcommands(
    EntryCommand(),
    AgentCommand(),
    GatewayCommand(),
    RelayCommand(),
    CheckCommand(),
    PublishCommand(),
    StatusCommand(),
    ExplainCommand(),
    WhereCommand()
)

private class ShallotplankCommand : CliktCommand(name = "shallotplank") {
    init {
        versionOption(VERSION)
    }

    override fun help(context: Context): String =
        "Load balancer for expert-parallel model groups and the plain services beside them."

    override fun run() = Unit

    private companion object {
        val VERSION: String =
            ShallotplankCommand::class.java.`package`?.implementationVersion ?: "development"
    }
}

private const val SUCCESS = 0
