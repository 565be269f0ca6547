package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path
import kotlin.io.path.useLines

/** Prints the trace of one request from the logs of gateway entries. */
internal class ExplainCommand : CliktCommand(name = "explain") {
    private val id by argument(name = "ID", help = "Request id, or the caller's attempt id")
    private val files by argument(name = "FILE", help = "Log files of gateway entries")
        .path(mustExist = true, canBeDir = false)
        .multiple(required = true)

    override fun help(context: Context): String =
        "Print the story of one request from the logs of all gateway entries."

    override fun run() {
        val trace = RequestTrace.read(id, files.map { LogFile(it) })
        if (trace.lines.isEmpty()) {
            fail(ExitStatus.FAILED, "no log line in these files has the request or attempt id $id")
        }
        trace.lines.forEach { echo(it) }
        echo(trace.conclusion)
    }

    /** One log file, read line by line. */
    private class LogFile(private val path: Path) : LogSource {
        override fun <T> useLines(block: (Sequence<String>) -> T): T = path.useLines { block(it) }
    }
}
