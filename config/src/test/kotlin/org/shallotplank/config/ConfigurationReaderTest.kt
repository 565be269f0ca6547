package org.shallotplank.config

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Nested
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.Priority

private const val HASH_A = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
private const val HASH_B = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"

private val zones = SourceFile(
    "zones.toml",
    """
    [[zones]]
    name = "khomas-a"
    region = "windhoek"
    [[zones]]
    name = "khomas-b"
    region = "windhoek"
    in_service = false
    """.trimIndent()
)

private val customers = SourceFile(
    "customers.toml",
    """
    [[customers]]
    name = "noord"
    token_sha256 = "$HASH_A"
    """.trimIndent()
)

private fun serviceFile(name: String = "order-app", kind: String = "plain", rest: String = "") =
    SourceFile(
        "$name/service.toml",
        """
        [service]
        name = "$name"
        kind = "$kind"
        [[operations]]
        name = "book"
        method = "POST"
        path = "/bookings"
        idempotent = false
        """.trimIndent() + "\n" + rest.trimIndent()
    )

private fun accepted(vararg sources: SourceFile): Configuration =
    assertIs<Reading.Accepted<Configuration>>(readConfiguration(sources.toList())).value

private fun findings(vararg sources: SourceFile, complete: Boolean = false): List<String> =
    assertIs<Reading.Rejected>(readConfiguration(sources.toList(), complete))
        .findings.map { it.toString() }

class ConfigurationReaderTest {
    @Nested
    inner class AcceptedFiles {
        @Test
        fun `become one configuration`() {
            val configuration = accepted(zones, serviceFile(), customers)
            assertTrue(configuration.isInService(ZoneName("khomas-a")))
            assertFalse(configuration.isInService(ZoneName("khomas-b")))
            val booking = configuration.service(
                ServiceName("order-app")
            )?.operation("POST", "/bookings")
            assertEquals(false, booking?.idempotent)
            assertEquals(Priority.INTERACTIVE, booking?.priority)
            assertEquals(HASH_A, configuration.customers.single().tokenSha256)
        }

        @Test
        fun `take the unit of a value from its key`() {
            val file = serviceFile(rest = "deadline_seconds = 5\n[stop]\ndrain_timeout_seconds = 9")
            val service = accepted(zones, file, customers).services.single()
            assertEquals(5.seconds, service.operations.single().deadline)
            assertEquals(9.seconds, service.stop.drainTimeout)
        }
    }

    @Nested
    inner class SingleKeys {
        @Test
        fun `report every fault at once with file, line and key`() {
            val file = SourceFile(
                "service.toml",
                """
                [service]
                name = "Order App"
                kind = "pliant"
                [limit]
                [[operations]]
                name = "book"
                method = "POST"
                path = "/bookings"
                idempotnt = false
                deadline = 3
                """.trimIndent()
            )
            val expected = listOf(
                "service.toml:2: service.name: expected 1 to 63 lower-case letters, digits and " +
                    "inner hyphens, found \"Order App\"",
                "service.toml:3: service.kind: expected \"model\" or \"plain\", found \"pliant\"",
                "service.toml:4: limit: expected \"limits\", found an unknown name",
                "service.toml:5: operations.idempotent: expected true or false, found nothing",
                "service.toml:9: operations.idempotnt: expected \"idempotent\", found an unknown " +
                    "name",
                "service.toml:10: operations.deadline: expected \"deadline_seconds\", " +
                    "found an unknown name"
            )
            assertEquals(expected, findings(file))
        }

        @Test
        fun `report syntax with its line`() {
            val finding = findings(SourceFile("service.toml", "[service]\nname = \n")).single()
            assertTrue(finding.startsWith("service.toml:2: syntax: expected valid TOML"), finding)
        }

        @Test
        fun `report tables of the wrong shape`() {
            val file = SourceFile("zones.toml", "[zones]\nname = \"khomas-a\"")
            assertEquals(
                listOf("zones.toml:1: zones: expected one or more tables [[zones]], found a table"),
                findings(file)
            )
        }

        @Test
        fun `report a table of the wrong shape without its missing keys`() {
            val file =
                SourceFile("service.toml", serviceFile().text.replace("[service]", "[[service]]"))
            assertEquals(
                listOf(
                    "service.toml:1: service: expected a table [service], found an array of tables"
                ),
                findings(file)
            )
        }

        @Test
        fun `never print a token that is a number, or is not quoted`() {
            for (value in listOf("86753092024", "86753092024x", "x86753092024", "[86753092024]")) {
                val text = "[[customers]]\nname = \"noord\"\ntoken_sha256 = $value"
                val printed = findings(SourceFile("customers.toml", text)).single()
                assertTrue(printed.startsWith("customers.toml:3: "), printed)
                assertFalse("8675309" in printed, printed)
            }
        }

        @Test
        fun `never print what may be a token`() {
            val file = SourceFile(
                "customers.toml",
                "[[customers]]\nname = \"noord\"\ntoken_sha256 = \"secret-token\"\n" +
                    "[[customers]]\nname = \"suid\"\ntoken = \"secret-token\""
            )
            val printed = findings(file)
            assertFalse(printed.any { "secret-token" in it }, printed.toString())
            assertTrue("customers.toml:3: customers.token_sha256" in printed.first())
            assertTrue(printed.any { "expected \"token_sha256\", found an unknown name" in it })
        }
    }

    @Nested
    inner class Contradictions {
        @Test
        fun `between limits are found`() {
            val file = serviceFile(rest = "[limits]\ncold_concurrency = 9\nmax_concurrency = 4")
            assertEquals(
                listOf(
                    "order-app/service.toml:10: limits.cold_concurrency: " +
                        "expected at most max_concurrency (4), found 9"
                ),
                findings(file)
            )
        }

        @Test
        fun `of a resumable stream that is not idempotent are found`() {
            val file =
                serviceFile(kind = "model", rest = "streamed = true\n[stop]\nresumable = true")
            assertTrue(":8: operations.idempotent: expected true" in findings(file).single())
        }

        @Test
        fun `of a drain shorter than a deadline are found`() {
            val file =
                serviceFile(rest = "deadline_seconds = 60\n[stop]\ndrain_timeout_seconds = 9")
            assertTrue(
                "expected at least the longest deadline_seconds (60" in findings(file).single()
            )
        }

        @Test
        fun `of an operation that no request reaches are found`() {
            val file = serviceFile(
                rest = """
                [[operations]]
                name = "book-again"
                method = "POST"
                path = "/bookings"
                idempotent = true
                """
            )
            assertTrue("served by operation book" in findings(file).single())
        }

        @Test
        fun `of model keys in a plain service are found`() {
            val rest = "[limits]\ntarget_step_millis = 40\n[rank_group]\nranks = 2\nlayers = 1\n" +
                "experts_per_layer = 8\nslots_per_rank = 3"
            assertEquals(
                listOf(
                    "limits.target_step_millis",
                    "rank_group.ranks",
                    "rank_group.slots_per_rank"
                ),
                findings(serviceFile(rest = rest)).map { it.split(": ")[1] }
            )
        }
    }

    @Nested
    inner class SeveralFiles {
        @Test
        fun `with the same names are found, even when one has other faults`() {
            val second = serviceFile(rest = "priority = 1").copy(path = "second.toml")
            val printed = findings(serviceFile(), second)
            assertEquals(2, printed.size)
            assertTrue("second.toml:2: service.name: expected a value used once" in printed.first())
            assertTrue("which stands at order-app/service.toml:2" in printed.first())
        }

        @Test
        fun `with one token for two customers are found`() {
            val other = customers.copy(
                path = "more.toml",
                text = customers.text.replace("noord", "suid") +
                    "\n[[customers]]\nname = \"oos\"\ntoken_sha256 = \"$HASH_B\""
            )
            val finding = findings(customers, other).single()
            assertTrue("more.toml:3: customers.token_sha256" in finding, finding)
        }

        @Test
        fun `that leave no zone in service are found`() {
            val text = "[[zones]]\nname = \"a\"\nregion = \"r\"\nin_service = false"
            assertEquals(
                listOf(
                    "zones.toml:4: zones.in_service: expected true in at least one zone, " +
                        "found false in all"
                ),
                findings(SourceFile("zones.toml", text))
            )
        }

        @Test
        fun `that lack zones, customers or services are found when they must be complete`() {
            assertEquals(
                listOf(
                    "customers.toml: customers: expected one or more [[customers]], found none",
                    "service files: service: expected one or more [service], found none",
                    "zones.toml: zones: expected one or more [[zones]], found none"
                ),
                findings(complete = true)
            )
        }

        @Test
        fun `of an unknown kind are found`() {
            val finding = findings(
                SourceFile("other.toml", "[servce]\nname = \"order-app\"")
            ).single()
            assertTrue("expected exactly one of [service], [[zones]], [[customers]]" in finding)
        }
    }
}
