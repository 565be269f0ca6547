package org.shallotplank.bench

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.parse
import java.io.IOException
import kotlin.system.exitProcess
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.plus
import org.shallotplank.bench.decisions.DecisionsCommand
import org.shallotplank.bench.decisions.LoadFileException

/** All scenarios, in the order in which they run. */
internal val allScenarios: PersistentList<Scenario> =
    routingScenarios + placementScenarios + capacityScenarios + processScenarios

/** Runs the scenarios that [args] name, or all; exits with 2 if one fails or can't be run. */
public fun main(args: Array<String>) {
    exitProcess(runBench(args.asList()))
}

private fun runBench(args: List<String>): Int {
    val isComparison = args.firstOrNull() == DECISIONS
    val command = if (isComparison) DecisionsCommand() else BenchCommand(allScenarios)
    return try {
        command.parse(if (isComparison) args.drop(1) else args)
        0
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        if (e.printError) EXIT_NOT_RUN else 0
    } catch (e: IOException) {
        System.err.println("cannot write the results: ${e.message}")
        EXIT_NOT_RUN
    } catch (e: LoadFileException) {
        System.err.println(e.message)
        EXIT_NOT_RUN
    } catch (e: ScenarioFailedException) {
        System.err.println("${e.message}: ${e.cause}")
        EXIT_NOT_RUN
    }
}

/** First argument that selects the comparison of decisions instead of the scenarios. */
private const val DECISIONS = "decisions"
private const val EXIT_NOT_RUN = 2
