package org.shallotplank.bench.processes

import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText

/** Processor time that the process [pid] has used, in seconds. */
internal fun processorSeconds(pid: Long): Double {
    val fields = Path.of("/proc/$pid/stat").readText().substringAfterLast(')').trim().split(' ')
    return (fields[USER_TICKS].toLong() + fields[SYSTEM_TICKS].toLong()) / TICKS_PER_SECOND
}

/** Resident memory of the process [pid], in MiB. */
internal fun residentMebibytes(pid: Long): Double {
    val line = Path.of("/proc/$pid/status").readLines().first { it.startsWith("VmRSS:") }
    return line.split(Regex("\\s+"))[1].toDouble() / KIB_PER_MIB
}

private const val KIB_PER_MIB = 1024.0
private const val TICKS_PER_SECOND = 100.0

/** Indexes of fields in `/proc/PID/stat`, counted after the name of the command. */
private const val USER_TICKS = 11
private const val SYSTEM_TICKS = 12
