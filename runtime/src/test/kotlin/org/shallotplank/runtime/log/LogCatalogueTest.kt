package org.shallotplank.runtime.log

import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readText
import kotlin.io.path.walk
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested
import org.shallotplank.core.log.LogEvent
import org.shallotplank.runtime.DocumentationPage

class LogCatalogueTest {
    @Nested
    inner class Page {
        @Test
        fun `lists each event with what the code logs`() =
            DocumentationPage("log-events.md").assertTable(
                LogEvent.entries.sortedBy { it.number }.map { event ->
                    val fields = loggedFields[event.name].orEmpty().joinToString(", ") { "`$it`" }
                    listOf("SP${event.number}", "${event.severity}", event.summary, fields)
                }
            )
    }

    @Nested
    inner class Events {
        @Test
        fun `have unique numbers`() {
            val numbers = LogEvent.entries.map { it.number }
            assertEquals(numbers.distinct(), numbers)
        }

        @Test
        fun `are logged by the main sources`() = assertEquals(
            emptyList(),
            LogEvent.entries.map {
                it.name
            }.filter { it !in loggedFields }
        )
    }
}

/** Names of the fields that the main sources pass to `logRecord`, by event. */
private val loggedFields: Map<String, Set<String>> by lazy {
    val calls = listOf(
        "../core/src/main",
        "../gateway/src/main",
        "../platform/src/main",
        "src/main"
    )
        .flatMap { Path.of(it).walk() }
        .filter { it.extension == "kt" }
        .flatMap { file -> loggedCalls(file.readText()) }
    calls.groupBy({ it.first }, { it.second }).mapValues { (_, names) -> names.flatten().toSet() }
}

/** Pairs each event that a call of `logRecord` in [source] may log with the call's fields. */
private fun loggedCalls(source: String): List<Pair<String, List<String>>> =
    Regex("""[^n] logRecord\(|\(logRecord\(|^ +logRecord\(""", RegexOption.MULTILINE)
        .findAll(source)
        .flatMap { match ->
            val call = source.callAt(match.range.last)
            val fields = FIELD.findAll(call).map { it.groupValues[1] }.toList()
            val named = EVENT.findAll(call).map { it.groupValues[1] }.toList()
            named.ifEmpty { eventsPassedOn(source, match.range.first) }.map { it to fields }
        }
        .toList()

/** Events that callers pass to the function around [offset], which logs its parameter `event`. */
private fun eventsPassedOn(source: String, offset: Int): List<String> {
    val function = Regex("""fun (?:\w+\.)?(\w+)\(""").findAll(source.take(offset)).last()
    return Regex("""\b${function.groupValues[1]}\(LogEvent\.(\w+)""").findAll(source)
        .map { it.groupValues[1] }
        .toList()
}

/** Returns the text from the parenthesis at [start] up to the one that closes it. */
private fun String.callAt(start: Int): String {
    var depth = 0
    val end = (start until length).first { at ->
        if (this[at] == '(') depth += 1
        if (this[at] == ')') depth -= 1
        depth == 0
    }
    return substring(start, end)
}

private val FIELD = Regex(""""(\w+)" to """)
private val EVENT = Regex("""LogEvent\.(\w+)""")
