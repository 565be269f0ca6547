package org.shallotplank.config

import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

private val allSpecs = listOf(
    serviceFileSpec,
    zonesFileSpec,
    customersFileSpec,
    entrySettingsSpec,
    agentSettingsSpec,
    gatewaySettingsSpec,
    relaySettingsSpec
)

private const val SERVICE_FILE_INTRODUCTION = """
Operators describe what shallotplank is to do in TOML files: one service file beside the code of
each service, and one zones file and one customers file in the directory that they publish. A file
is known by its content, not by its name. `shallotplank check FILE|DIR...` prints every finding at
once, one a line, as `file:line: key: expected X, found Y`; `shallotplank publish DIR` puts nothing
in force while there is one.

Besides the keys below, these are findings:

| what | finding |
| --- | --- |
| a name that the file does not have | `limit: expected "limits", found an unknown name` |
| text that is not TOML | `syntax: expected valid TOML, found ...` |
| a file of no kind, or of two | `file: expected exactly one of [service], [[zones]], [[customers]], found ...` |
| a service, zone, customer or token hash that stands twice, in any file | `service.name: expected a value used once, found "order-app", which stands at FILE:LINE` |
| an operation name that stands twice in a service | `operations.name: expected a name that no other operation has, found ...` |
| an operation that an earlier one hides | `operations.path: expected a path that no earlier operation serves, found ...` |
| a cold limit above the warm one | `limits.cold_concurrency: expected at most max_concurrency (4), found 9` |
| a planned stop that would cut off requests | `stop.drain_timeout_seconds: expected at least the longest deadline_seconds (60 of operation quote), found 9` |
| a resumable service with a streamed operation that is not idempotent | `operations.idempotent: expected true, since stop.resumable lets streamed operations go on at another upstream, found false` |
| a resumable service without streams | `stop.resumable: expected a streamed operation that could be resumed, found none` |
| keys for models in a plain service | `limits.target_step_millis: expected no such key in a service of kind "plain", found one` |
| a rank group without room for its experts | `rank_group.slots_per_rank: expected room for 32 experts on 4 ranks, found 28 slots` |
| all zones out of service | `zones.in_service: expected true in at least one zone, found false in all` |
| a published directory without zones, customers or services | `zones.toml: zones: expected one or more [[zones]], found none` |

What may be a secret is never printed. `examples/klipstein` and `examples/paletti` are complete
examples.
"""

private const val SETTINGS_INTRODUCTION = """
Each process reads one TOML file at its start: `shallotplank entry --settings FILE`,
and so do `shallotplank agent`, `shallotplank gateway` and `shallotplank relay`. The settings say what the process is and where it listens;
what it does with requests is in the published configuration. All findings are printed together,
one a line, as `file:line: key: expected X, found Y`, and the process does not start while there is
one. Addresses are IP numbers with a port: a host name is a finding, and so is one address under
two keys. `examples/settings` holds an example of each file.
"""

/** Files with each of the faults that the introduction lists. */
private val faultyFiles = listOf(
    SourceFile("syntax.toml", "[service"),
    SourceFile("unknown.toml", "[other]"),
    SourceFile("zones.toml", "[[zones]]\nname = \"a\"\nregion = \"r\"\nin_service = false"),
    SourceFile(
        "plain.toml",
        """
        limit = 1
        [service]
        name = "order-app"
        kind = "plain"
        [limits]
        target_step_millis = 36
        cold_concurrency = 9
        max_concurrency = 4
        [stop]
        resumable = true
        """.trimIndent()
    ),
    SourceFile(
        "model.toml",
        """
        [service]
        name = "order-app"
        kind = "model"
        [stop]
        drain_timeout_seconds = 9
        resumable = true
        [[operations]]
        name = "quote"
        method = "POST"
        path = "/quotes"
        idempotent = false
        streamed = true
        deadline_seconds = 60
        [[operations]]
        name = "quote"
        method = "POST"
        path = "/quotes"
        idempotent = true
        [rank_group]
        ranks = 4
        layers = 8
        experts_per_layer = 32
        slots_per_rank = 7
        """.trimIndent()
    )
)

/** The findings in the table of [introduction]; `...` and `FILE:LINE` match any text. */
private fun listedFindings(introduction: String): List<Regex> = introduction.lines()
    .filter { it.startsWith("| ") && "`" in it }
    .map { row -> row.substringAfterLast("| `").substringBeforeLast("` |") }
    .map { finding ->
        finding.split("...", "FILE:LINE").joinToString(".+") { Regex.escape(it) }.toRegex()
    }

class ReferencePageTest {
    @Nested
    inner class Pages {
        @Test
        fun `agree with the keys of the published files`() = assertPage(
            "service-file-reference.md",
            referencePage(
                title = "Service file reference",
                introduction = SERVICE_FILE_INTRODUCTION,
                specs = listOf(serviceFileSpec, zonesFileSpec, customersFileSpec)
            )
        )

        @Test
        fun `agree with the keys of the settings`() = assertPage(
            "settings-reference.md",
            referencePage(
                title = "Settings reference",
                introduction = SETTINGS_INTRODUCTION,
                specs = listOf(
                    entrySettingsSpec,
                    agentSettingsSpec,
                    gatewaySettingsSpec,
                    relaySettingsSpec
                )
            )
        )
    }

    @Nested
    inner class Keys {
        @Test
        fun `refuse the wrong value that their page shows`() = forEachKey { key ->
            assertNull(key.rule.parse(key.rule.wrongExample), key.name)
        }

        @Test
        fun `end with their unit if it is one of time or size`() = forEachKey { key ->
            val suffix = when (key.rule.unit) {
                "seconds" -> "_seconds"
                "milliseconds" -> "_millis"
                "bytes" -> "_bytes"
                else -> ""
            }
            assertEquals(key.name, key.name.removeSuffix(suffix) + suffix)
        }
    }

    @Nested
    inner class ListedFindings {
        @Test
        fun `match findings that the reader reports`() {
            val readings = listOf(faultyFiles, emptyList()).map { readConfiguration(it) }
            val printed = readings.flatMap { (it as Reading.Rejected).findings }.map { "$it" }
            val listed = listedFindings(SERVICE_FILE_INTRODUCTION)
            assertEquals(14, listed.size)
            assertEquals(emptyList(), listed.filter { row -> printed.none(row::containsMatchIn) })
        }
    }

    private fun forEachKey(check: (KeySpec<*>) -> Unit) =
        allSpecs.flatMap { it.tables }.flatMap { it.keys }.forEach(check)

    /** Compares [page] with the committed [file], or writes it if the build requests that. */
    private fun assertPage(file: String, page: String) {
        val path = Path("../docs").resolve(file)
        if (System.getProperty("shallotplank.docs.write") == "true") path.writeText(page)
        assertEquals(
            page,
            path.readText(),
            "$file differs from the key tables; see CONTRIBUTING.md"
        )
    }
}
