package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.shallotplank.runtime.admin.ProcessStatus
import org.shallotplank.runtime.admin.UpstreamStatus

/** Shows the state of entries and of the upstreams that they know. */
internal class StatusCommand : CliktCommand(name = "status") {
    private val admins by option(
        "--admin",
        metavar = "IP:PORT",
        envvar = "SHALLOTPLANK_ADMIN",
        help = "Admin address of an entry or agent; may be given several times"
    ).convert { parseAddress(it) }.multiple(required = true)
    private val json by option("--json", help = "Print JSON").flag()

    override fun help(context: Context): String =
        "Show the version in force, zones, upstreams with their state, and requests in flight."

    override fun run() {
        val client = AdminClient()
        val answers = admins.map { it to client.status(it) }
        val statuses = answers.mapNotNull { it.second }
        if (json) {
            echo(Json.encodeToString(ListSerializer(ProcessStatus.serializer()), statuses))
        } else {
            printTable(statuses)
        }
        val silent = answers.filter { it.second == null }.map { it.first }
        silent.forEach { echo("shallotplank: no answer from $it", err = true) }
        if (silent.isNotEmpty()) throw ProgramResult(ExitStatus.UNAVAILABLE.code)
    }

    private fun printTable(statuses: List<ProcessStatus>) {
        echo("INSTANCE             ZONE           VERSION  STATE     IN FLIGHT")
        for (status in statuses) {
            val state = when {
                status.draining -> "draining"
                status.ready -> "ready"
                else -> "starting"
            }
            echo(
                "%-20s %-14s %7s  %-9s %9d".format(
                    status.instance,
                    status.zone,
                    status.configurationVersion,
                    state,
                    status.inFlight
                )
            )
        }
        val zones = statuses.maxByOrNull { it.configurationVersion }?.zones.orEmpty()
        echo("")
        zones.forEach { echo("zone ${it.zone}: ${if (it.inService) "in" else "out of"} service") }
        printUpstreams(statuses.flatMap { it.upstreams })
    }

    /** Prints a line per upstream; prefers the status from a process connected to the upstream. */
    private fun printUpstreams(upstreams: List<UpstreamStatus>) {
        echo("")
        echo("UPSTREAM             SERVICE          ZONE           STATE     RUNNING QUEUED LIMIT")
        val latest = upstreams.groupBy { it.instance }.values.map { known ->
            known.firstOrNull { it.connected } ?: known.first()
        }
        for (upstream in latest.sortedBy { it.instance.value }) {
            echo(
                "%-20s %-16s %-14s %-9s %7d %6d %5d".format(
                    upstream.instance,
                    upstream.service,
                    upstream.zone,
                    upstream.state.name.lowercase(),
                    upstream.running,
                    upstream.queued,
                    upstream.concurrency
                )
            )
        }
    }
}
