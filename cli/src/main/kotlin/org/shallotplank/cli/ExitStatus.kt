package org.shallotplank.cli

import com.github.ajalt.clikt.core.BaseCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import kotlinx.collections.immutable.PersistentList
import org.shallotplank.config.Finding
import org.shallotplank.config.Reading

/** Exit statuses of the command; 0 is success. */
internal enum class ExitStatus(
    val code: Int,
    /** When the command ends with this status; printed in `docs/commands.md`. */
    val meaning: String
) {
    FAILED(1, "files hold faults, or another publication won and nothing was published"),
    USAGE(2, "wrong usage, or settings with which a process cannot start"),
    UNAVAILABLE(3, "the platform or a process did not answer, or `--wait` ran out of time")
}

/** Prints [message] as one line on the standard error and ends the command with [status]. */
internal fun BaseCliktCommand<*>.fail(status: ExitStatus, message: String): Nothing {
    echo("shallotplank: $message", err = true)
    throw ProgramResult(status.code)
}

/**
 * Returns the value of [reading], or ends the command with [status] if it is rejected.
 *
 * Prints all findings of a rejected reading on the standard error, one per line.
 */
internal fun <T> BaseCliktCommand<*>.acceptedOrFail(reading: Reading<T>, status: ExitStatus): T =
    when (reading) {
        is Reading.Accepted -> reading.value
        is Reading.Rejected -> failWith(reading.findings, status)
    }

private fun BaseCliktCommand<*>.failWith(
    findings: PersistentList<Finding>,
    status: ExitStatus
): Nothing {
    findings.forEach { echo(it.toString(), err = true) }
    throw ProgramResult(status.code)
}
