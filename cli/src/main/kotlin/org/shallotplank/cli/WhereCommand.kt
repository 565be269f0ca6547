package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.shallotplank.gateway.where.WhereQuery

/** Asks a gateway entry which upstream it would choose for a request, without sending it. */
internal class WhereCommand : CliktCommand(name = "where") {
    private val entry by option(
        "--entry",
        metavar = "IP:PORT",
        envvar = "SHALLOTPLANK_ENTRY",
        help = "Metrics address of a gateway entry"
    ).convert { parseAddress(it) }.required()
    private val host by option("--host", help = "Host of the request").required()
    private val path by option("--path", help = "Path of the request").required()
    private val method by option(
        "--method",
        help = "Method of the request, POST by default; routes do not distinguish methods"
    ).default("POST")
    private val customer by option("--customer", metavar = "NAME", help = "Customer who sends it")
    private val priority by option(
        "--priority",
        metavar = "N",
        help = "Priority in place of the customer's; 0 is the most urgent"
    ).int().restrictTo(min = 0)
    private val timeLeftMillis by option(
        "--time-left-ms",
        metavar = "N",
        help = "Time for which its caller waits, in milliseconds"
    ).int().restrictTo(min = 1)
    private val tokenCounts by option(
        "--token-counts",
        metavar = "PROMPT,MAX_OUTPUT",
        help = "Tokens of its prompt and most tokens of its answer, as its caller states them"
    )
    private val lengthHint by option(
        "--length-hint",
        metavar = "N",
        help = "Tokens of its answer, as its caller expects them"
    ).int().restrictTo(min = 1)
    private val promptPrefix by option(
        "--prompt-prefix",
        metavar = "PARTS",
        help = "Parts of its prompt that it shares with others, as its caller states them"
    )
    private val json by option("--json", help = "Print JSON").flag()

    override fun help(context: Context): String =
        "Show which upstream a gateway entry would choose for a request now, and why. The " +
            "request is not sent. Exits with 0 also if the request would be refused."

    override fun run() {
        when (val reply = WhereClient().ask(entry, parameters())) {
            is WhereReply.Answered -> if (json) {
                echo(reply.answer.encode())
            } else {
                echo("request $method $host$path")
                whereLines(reply.answer).forEach { echo(it) }
            }
            is WhereReply.WrongQuestion -> fail(ExitStatus.USAGE, reply.detail)
            is WhereReply.Unavailable -> fail(ExitStatus.UNAVAILABLE, "$entry: ${reply.detail}")
        }
    }

    private fun parameters(): Map<String, String?> = mapOf(
        WhereQuery.HOST to host,
        WhereQuery.PATH to path,
        WhereQuery.CUSTOMER to customer,
        WhereQuery.PRIORITY to priority?.toString(),
        WhereQuery.TIME_LEFT_MILLIS to timeLeftMillis?.toString(),
        WhereQuery.TOKEN_COUNTS to tokenCounts,
        WhereQuery.LENGTH_HINT to lengthHint?.toString(),
        WhereQuery.PROMPT_PREFIX to promptPrefix
    )
}
