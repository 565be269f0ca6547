package org.shallotplank.core.quarantine

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentSet
import org.junit.jupiter.api.Nested

class PartQuarantineTest {
    private val start = Instant.fromEpochSeconds(0)

    private fun parts(vararg names: String) = names.map(::PromptPart).toPersistentSet()

    private fun crash(upstream: String, after: Duration, vararg names: String) =
        PromptCrash(upstream, start + after, parts(*names))

    private fun PartQuarantine.with(vararg crashes: PromptCrash) =
        crashes.fold(this) { known, crash -> known.merge(crash) }

    private fun assertRefused(quarantine: PartQuarantine, vararg names: String) =
        assertEquals(parts(*names), quarantine.refused)

    @Nested
    inner class APart {
        @Test
        fun `is refused after two crashes, while the parts that it came with are not`() {
            val one = PartQuarantine().with(crash("u", 0.seconds, "a", "b", "bad"))
            assertRefused(one)
            assertRefused(one.with(crash("v", 4.seconds, "a", "c", "bad")), "bad")
        }

        @Test
        fun `is not refused for one crash that two entries report`() {
            val reports = listOf(crash("u", 0.seconds, "a"), crash("u", 900.milliseconds, "a"))
            assertRefused(PartQuarantine().with(*reports.toTypedArray()))
        }

        @Test
        fun `is not refused for crashes at the same time`() {
            val crashes = List(8) { crash("u$it", (it * 50).milliseconds, "a") }
            assertRefused(PartQuarantine().with(*crashes.toTypedArray()))
        }

        @Test
        fun `is cleared by an answer, also for entries that learn of the crash later`() {
            val crashed = PartQuarantine()
                .with(crash("u", 0.seconds, "a", "bad"), crash("v", 4.seconds, "a", "bad"))
                .answered(parts("a"), start + 5.seconds)
            assertRefused(crashed, "bad")
            assertEquals(listOf(parts("bad"), parts("bad")), crashed.reported.map { it.parts })
            assertRefused(PartQuarantine().with(*crashed.reported.toTypedArray()), "bad")
        }

        @Test
        fun `that was answered before needs more crashes`() {
            val known = PartQuarantine().answered(parts("a"), start)
            val crashes = List(6) { crash("u$it", (4 * it + 1).seconds, "a") }
            assertRefused(known.with(*crashes.take(5).toTypedArray()))
            assertRefused(known.with(*crashes.toTypedArray()), "a")
        }

        @Test
        fun `that many lost requests carried is not refused`() {
            val ran = (1..20).fold(PartQuarantine()) { known, _ -> known.ran(parts("a")) }
            val crashes = List(3) { crash("u$it", (4 * it).seconds, "a", "bad") }
            assertRefused(ran.with(*crashes.toTypedArray()), "bad")
        }

        @Test
        fun `is served again when its crashes have expired`() {
            val crashed = PartQuarantine(timeToLive = 5.minutes)
                .with(crash("u", 0.seconds, "a"), crash("v", 4.seconds, "a"))
            assertRefused(crashed.expire(start + 5.minutes))
        }
    }

    @Nested
    inner class Merging {
        @Test
        fun `does not depend on order or repetition`() {
            val crashes = listOf(
                crash("u", 0.seconds, "a", "bad"),
                crash("v", 4.seconds, "bad"),
                crash("u", 0.seconds, "c"),
                crash("w", 8.seconds, "c", "bad")
            )
            val forward = PartQuarantine().with(*crashes.toTypedArray())
            val backward = PartQuarantine().with(*crashes.reversed().toTypedArray())
            assertEquals(forward.crashes.toMap(), backward.crashes.toMap())
            assertEquals(forward.refused, backward.refused)
            assertEquals(forward, forward.with(*crashes.toTypedArray()))
        }
    }
}
