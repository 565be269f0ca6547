package org.shallotplank.config

import java.nio.file.Path
import java.security.MessageDigest
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.Customer
import org.shallotplank.core.config.ServiceKind

private val examples = Path("../examples")

private fun <T> accepted(reading: Reading<T>): T = assertIs<Reading.Accepted<T>>(reading).value

private fun example(name: String): Configuration =
    accepted(readConfigurationFiles(listOf(examples.resolve(name))))

private fun exampleTokenHash(customer: Customer): String = MessageDigest.getInstance("SHA-256")
    .digest("example-token-${customer.name}".toByteArray())
    .joinToString("") { "%02x".format(it) }

class ExamplesTest {
    @Nested
    inner class Configurations {
        @Test
        fun `of both firms are accepted`() {
            val services = listOf("klipstein", "paletti").associateWith { firm ->
                example(firm).services.map { "${it.name}" }
            }
            val expected = mapOf(
                "klipstein" to listOf("draft-model", "order-app"),
                "paletti" to listOf("gestione-ordini", "modello-bozze")
            )
            assertEquals(expected, services)
        }

        @Test
        fun `mark no order, booking or deposit as idempotent`() {
            val orders = listOf("klipstein", "paletti").flatMap { example(it).services }
                .filter { it.kind == ServiceKind.PLAIN }
                .flatMap { it.operations }
                .filter { it.method == "POST" }
            assertEquals(5, orders.size)
            assertFalse(orders.any { it.idempotent })
        }

        @Test
        fun `hold the hashes of the tokens that they name`() {
            val customers = listOf("klipstein", "paletti").flatMap { example(it).customers }
            assertEquals(customers.map(::exampleTokenHash), customers.map { it.tokenSha256 })
        }
    }

    @Nested
    inner class Settings {
        @Test
        fun `of an entry are accepted, and their commented-out keys show the defaults`() {
            val path = examples.resolve("settings/entry.toml")
            assertEquals(
                accepted(readEntrySettings(path)),
                accepted(readEntrySettings(shown(path)))
            )
        }

        @Test
        fun `of an agent are accepted, and their commented-out keys show the defaults`() {
            val path = examples.resolve("settings/agent.toml")
            assertEquals(
                accepted(readAgentSettings(path)),
                accepted(readAgentSettings(shown(path)))
            )
        }

        @Test
        fun `show every key with a comment`() {
            for ((file, spec) in listOf(
                "entry" to entrySettingsSpec,
                "agent" to agentSettingsSpec
            )) {
                val text = examples.resolve("settings/$file.toml").readText()
                val missing = spec.tables.single().keys.map { it.name }
                    .filterNot { Regex("(?m)^#?$it = ").containsMatchIn(text) }
                assertEquals(emptyList(), missing, file)
            }
        }
    }

    /** The file [path] with its commented-out keys enabled. */
    private fun shown(path: Path): SourceFile {
        val text = path.readText().replace(Regex("(?m)^#(\\w+ = )"), "$1")
        return SourceFile("$path", text)
    }
}
