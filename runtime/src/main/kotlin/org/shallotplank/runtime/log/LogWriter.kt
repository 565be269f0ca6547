package org.shallotplank.runtime.log

import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.Severity
import org.tinylog.Logger
import org.tinylog.configuration.Configuration

/** Writes one record. */
public typealias LogWriter = (LogRecord) -> Unit

/**
 * Configures tinylog to write records of at least [level] to the standard output.
 *
 * Must be called once, before the first record is logged.
 */
public fun configureLogging(level: String) {
    Configuration.set("writer", "console")
    Configuration.set("writer.stream", "out")
    Configuration.set("writer.format", "{date:yyyy-MM-dd HH:mm:ss.SSS} {level} {message}")
    Configuration.set("level", level.lowercase())
    NOISY_LIBRARIES.forEach { Configuration.set("level@$it", "warn") }
    Configuration.set("autoshutdown", "false")
}

/** Writes records through tinylog. */
public fun tinylogWriter(): LogWriter = { record ->
    when (record.event.severity) {
        Severity.DEBUG -> Logger.debug { record.line() }
        Severity.INFO -> Logger.info { record.line() }
        Severity.WARN -> Logger.warn { record.line() }
        Severity.ERROR -> Logger.error { record.line() }
    }
}

/**
 * Formats a record as one line: number, summary and each field as `name=value`.
 *
 * Values that are empty or hold a space, a quote or an equals sign are quoted.
 */
internal fun LogRecord.line(): String = buildString {
    append("SP").append(event.number).append(' ').append(event.summary)
    for (field in fields) {
        append(' ').append(field.name).append('=').append(quoted(field.value))
    }
}

private fun quoted(value: String): String {
    val clean = value.replace('\n', ' ').replace('\r', ' ')
    val isPlain = clean.isNotEmpty() && clean.none { it == ' ' || it == '"' || it == '=' }
    return if (isPlain) clean else "\"${clean.replace("\"", "'")}\""
}

/** Packages of libraries limited to WARN: their lines matter only when something fails. */
private val NOISY_LIBRARIES = listOf("io.ktor", "io.netty", "ktor")
