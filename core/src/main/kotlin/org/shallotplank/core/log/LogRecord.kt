package org.shallotplank.core.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** One named value of a log line. */
public data class LogField(val name: String, val value: String)

/** One log line: a numbered [event] and its fields. */
public data class LogRecord(val event: LogEvent, val fields: PersistentList<LogField>)

/** Builds a record of [event]; fields without a value are left out. */
public fun logRecord(event: LogEvent, vararg fields: Pair<String, Any?>): LogRecord = LogRecord(
    event = event,
    fields = fields
        .mapNotNull { (name, value) -> value?.let { LogField(name, it.toString()) } }
        .toPersistentList()
)
