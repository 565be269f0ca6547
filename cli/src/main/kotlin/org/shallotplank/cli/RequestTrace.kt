package org.shallotplank.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.shallotplank.core.log.LogEvent

/** A log that is read line by line. */
internal interface LogSource {
    fun <T> useLines(block: (Sequence<String>) -> T): T
}

/** Trace of one request: its log [lines] in order of time, and how it ended. */
internal class RequestTrace(val lines: List<String>, val conclusion: String) {
    companion object {
        /**
         * Reads the trace of the request that has [id] as its own or as its caller's attempt id.
         *
         * Skips lines that are not JSON, and the text before the first brace of a line, such as a
         * prefix added by a log collector.
         */
        fun read(id: String, sources: List<LogSource>): RequestTrace {
            val requests = sources.flatMap { source ->
                source.useLines { lines ->
                    lines.filter { id in it }.mapNotNull(::parse)
                        .filter { it["request"] == id || it["attempt_id"] == id }
                        .mapNotNull { it["request"] }
                        .toSet()
                }
            }.toSet()
            val found = sources.flatMap { source ->
                source.useLines { lines ->
                    lines.filter { line -> requests.any { it in line } }
                        .mapNotNull(::parse)
                        .filter { it["request"] in requests }
                        .toList()
                }
            }.sortedBy { it["time"] }
            return RequestTrace(found.map(::describe), conclude(found))
        }

        private fun parse(line: String): Map<String, String>? {
            val start = line.indexOf('{')
            if (start < 0) return null
            return try {
                val fields = Json.parseToJsonElement(line.substring(start)) as? JsonObject
                fields?.mapValues { (_, value) -> (value as? JsonPrimitive)?.content.orEmpty() }
            } catch (e: SerializationException) {
                null
            }
        }

        private fun describe(fields: Map<String, String>): String {
            val rest = fields.filterKeys { it !in HEADING }.map { (name, value) -> "$name=$value" }
            return "${fields["time"]} ${fields["instance"]} ${fields["event"]} " +
                "${fields["message"]}: ${rest.joinToString(" ")}"
        }

        private fun conclude(found: List<Map<String, String>>): String {
            val last =
                found.lastOrNull { it["event"] in finalEvents } ?: return "Not ended in these logs."
            val failures = found.filter { it["event"] == numberOf(LogEvent.GATEWAY_ATTEMPT_FAILED) }
                .map { "${it["cause"]} at ${it["upstream"]} after ${it["attempt_ms"]} ms" }
            val causes =
                if (failures.isEmpty()) "" else " Failed attempts: ${failures.joinToString()}."
            val end = when (last["event"]) {
                numberOf(LogEvent.GATEWAY_ANSWERED) ->
                    "Answered with status ${last["status"]} by ${last["upstream"]}."
                numberOf(LogEvent.GATEWAY_CALLER_LEFT) ->
                    "Its caller left after ${last["age_ms"]} ms."
                numberOf(LogEvent.GATEWAY_CUT) -> "Its answer was broken off: ${last["reason"]}."
                else -> "Ended with status ${last["status"]}: ${last["reason"]}."
            }
            return end + causes
        }

        private fun numberOf(event: LogEvent) = "SP${event.number}"

        private val HEADING = setOf("time", "instance", "event", "severity", "message")
        private val finalEvents = setOf(
            LogEvent.GATEWAY_REJECTED,
            LogEvent.GATEWAY_ANSWERED,
            LogEvent.GATEWAY_REFUSED,
            LogEvent.GATEWAY_CUT,
            LogEvent.GATEWAY_CALLER_LEFT
        ).map(::numberOf).toSet()
    }
}
