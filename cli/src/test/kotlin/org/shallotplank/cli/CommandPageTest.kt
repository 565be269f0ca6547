package org.shallotplank.cli

import com.github.ajalt.clikt.testing.test
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

private val INTRODUCTION = """
# Commands

<!-- Generated from the command line of the cli module; see CONTRIBUTING.md. -->

`scripts/build` makes the one binary `target/shallotplank`, which needs a Java 17 runtime. Results go to
the standard output; errors go to the standard error, findings one a line. The environment variable
`JAVA_OPTS` replaces the binary's options of the Java virtual machine.

| exit status | meaning |
| --- | --- |
""".trim()

private val commands = listOf("", "entry", "agent", "check", "publish", "status", "where")

class CommandPageTest {
    @Nested
    inner class Page {
        @Test
        fun `agrees with the help of each command`() {
            val path = Path.of("../docs/commands.md")
            val page = expectedPage()
            if (System.getProperty("shallotplank.docs.write") == "true") path.writeText(page)
            val found = if (path.exists()) path.readText() else ""
            assertEquals(page, found, "commands.md differs from the commands; see CONTRIBUTING.md")
        }
    }

    @Nested
    inner class ExitStatuses {
        @Test
        fun `of wrong usage are those of the page`() {
            val wrongUsages =
                listOf("bogus", "check", "entry", "status", "where", "publish /nowhere")
            val codes = wrongUsages.map { runCommand(it.split(' ')) }
            assertEquals(wrongUsages.map { ExitStatus.USAGE.code }, codes)
        }

        @Test
        fun `of files with findings are those of the page`() {
            val status = runCommand(listOf("check", "src/test"))
            assertEquals(ExitStatus.FAILED.code, status)
        }

        @Test
        fun `of a process that does not answer are those of the page`() {
            val status = runCommand(listOf("status", "--admin", "127.0.0.1:1"))
            val question = listOf("--entry", "127.0.0.1:1", "--host", "h", "--path", "/p")
            val where = runCommand(listOf("where") + question)
            assertEquals(List(2) { ExitStatus.UNAVAILABLE.code }, listOf(status, where))
        }

        @Test
        fun `of help and version are success`() {
            val codes = listOf("--help", "--version").map { runCommand(listOf(it)) }
            assertEquals(listOf(0, 0), codes)
        }
    }
}

private fun expectedPage(): String = buildString {
    appendLine(INTRODUCTION)
    appendLine("| 0 | success |")
    ExitStatus.entries.forEach { appendLine("| ${it.code} | ${it.meaning} |") }
    for (command in commands) {
        val arguments = listOf(command, "--help").filter { it.isNotEmpty() }
        val help = shallotplankCommand().test(arguments, width = HELP_COLUMNS).stdout
        appendLine()
        appendLine("## `${"shallotplank $command".trim()}`")
        appendLine()
        appendLine("```")
        appendLine(help.trimEnd())
        appendLine("```")
    }
}

private const val HELP_COLUMNS = 96
