package org.shallotplank.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.quarantine.PartQuarantine
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.gateway.peer.KnownCrash
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.PeerTable
import org.shallotplank.gateway.peer.PeerTables
import org.shallotplank.gateway.peer.PeerView
import org.shallotplank.gateway.peer.SharedCrashes
import org.shallotplank.gateway.peer.promptCrashTable

/**
 * Guards against fetches of one crash that grow with the square of the number of entries.
 *
 * 70 entries poll each other without a network, in steps of 40 ms, one peer in each.
 */
class CrashExchangeTest {
    private var now = Instant.fromEpochSeconds(100)
    private val clock = object : Clock {
        override fun now(): Instant = now
    }
    private val random = Random(20261206)

    private inner class Entry(val index: Int, isDigested: Boolean) {
        var quarantine = PartQuarantine()
        var fetches = 0
        private val table = promptCrashTable(
            clock = clock,
            quarantine = { quarantine },
            onLearned = { crashes ->
                quarantine =
                    crashes.fold(quarantine, PartQuarantine::merge)
            },
            log = { error("unexpected line: $it") }
        )
        private val tables = PeerTables(
            listOf(
                if (isDigested) {
                    table
                } else {
                    // The versions of build f41f3e9, by which each entry offered what it learned.
                    PeerTable(
                        name = table.name,
                        version = { quarantine.revision.takeIf { it > 0 } },
                        rows = table.rows,
                        learn = table.learn
                    )
                }
            ),
            clock
        )
        private val views = HashMap<Int, PeerView>()

        fun report() = PeerReport(
            instance = "e$index",
            incarnation = 1,
            publicAddress = "10.0.0.1:2",
            zone = "a",
            isReady = true,
            isStopping = false,
            tableVersions = tables.versions,
            inFlight = emptyList(),
            crashes = emptyList()
        )

        fun poll(peer: Entry) = runBlocking {
            val view = views.getOrPut(peer.index) { PeerView(Address("10.0.0.1", 1)) }
            view.report = peer.report()
            tables.follow(view) { name ->
                fetches++
                peer.tables.copy(name)
            }
        }
    }

    private fun entries(isDigested: Boolean) = List(ENTRIES) { Entry(it, isDigested) }

    private fun crash(upstream: String, parts: Iterable<String>) =
        PromptCrash(upstream, now, parts.map(::PromptPart).toPersistentSet())

    /** Lets each of [entries] poll all others [rounds] times. */
    private fun poll(entries: List<Entry>, rounds: Int) =
        repeat(rounds * (entries.size - 1)) { step ->
            now += 40.milliseconds
            for ((place, entry) in entries.withIndex()) {
                entry.poll(entries[(place + 1 + step % (entries.size - 1)) % entries.size])
            }
        }

    @Nested
    inner class ACrashThatOneEntryObserved {
        private fun fetches(isDigested: Boolean, subjects: Int): Int {
            val entries = entries(isDigested)
            val parts = List(subjects) { "subject$it" }
            for (entry in entries) {
                val answered = parts.filter { random.nextBoolean() }.map(::PromptPart).toSet()
                entry.quarantine = entry.quarantine.answered(answered, now)
            }
            now += 1.seconds
            entries.first().apply { quarantine = quarantine.merge(crash("u@1", parts + "own")) }
            poll(entries, rounds = 4)
            val known = entries.map { it.quarantine.crashes.getValue("u@1") }
            assertEquals(1, known.map { it.parts to it.establishedParts }.distinct().size)
            return entries.sumOf { it.fetches }
        }

        @Test
        fun `is fetched about once by each entry`() {
            val before = fetches(isDigested = false, subjects = 0)
            val after = fetches(isDigested = true, subjects = 0)
            println("fetches of a crash over $ENTRIES entries: $before before, $after after")
            assertTrue(before > 60 * ENTRIES, "$before")
            assertTrue(after < 2 * ENTRIES, "$after")
        }

        @Test
        fun `is fetched a few times if entries know different parts to be harmless`() {
            val before = fetches(isDigested = false, subjects = 8)
            val after = fetches(isDigested = true, subjects = 8)
            println("with different harmless parts: $before before, $after after")
            assertTrue(after < 12 * ENTRIES, "$after")
        }

        @Test
        fun `reaches every entry although its observer ends after the first fetch`() {
            val entries = entries(isDigested = true)
            entries[0].quarantine = entries[0].quarantine.merge(crash("u@1", listOf("bad")))
            entries[1].poll(entries[0])
            poll(entries.drop(1), rounds = 1)
            assertTrue(entries.all { "u@1" in it.quarantine.crashes })
        }
    }

    @Nested
    inner class MoreCrashesThanAnEntryKeeps {
        @Test
        fun `are not fetched without end`() {
            val entries = entries(isDigested = true)
            repeat(80) { index ->
                now += 1.seconds
                val observer = entries[index % ENTRIES]
                observer.quarantine =
                    observer.quarantine.merge(crash("u$index@1", listOf("p$index")))
            }
            poll(entries, rounds = 6)
            val settled = entries.sumOf { it.fetches }
            poll(entries, rounds = 2)
            assertEquals(settled, entries.sumOf { it.fetches })
        }
    }

    @Nested
    inner class ACrashInReports {
        @Test
        fun `is not learned again from an entry that learned it later`() {
            var learned = 0
            val shared = List(2) { SharedCrashes(clock) { learned++ } }
            val crash = KnownCrash("c", "00", "attempt")
            shared[0].learn(crash)
            now += 2.seconds
            repeat(200) {
                now += 1.seconds
                shared.forEach { it.expire(now) }
                shared[0].recent.forEach(shared[1]::learn)
                shared[1].recent.forEach(shared[0]::learn)
            }
            assertEquals(2, learned)
            assertTrue(shared.all { it.recent.isEmpty() })
        }
    }

    private companion object {
        const val ENTRIES = 70
    }
}
