package org.shallotplank.gateway.retention

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.gateway.ObservedNotice
import org.shallotplank.core.gateway.ObservedRate
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.quarantine.PartQuarantine
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.core.quarantine.Quarantine
import org.shallotplank.core.quarantine.QuarantineVerdict
import org.shallotplank.core.quarantine.RequestFingerprint

/** Guards against knowledge of crashing requests that ends with the processes (BUDGET). */
class StateRetentionTest {
    private val store = FaultyTable()
    private val listed = mutableSetOf<UpstreamKey>()
    private val running = LinkedHashMap<String, Entry>()
    private var lives = 0

    /** An entry between its start and its end; its clock starts at any time. */
    private inner class Entry(val name: String) {
        private val clockStart = lives++.hours
        private val clock = object : Clock {
            override fun now(): Instant = Instant.fromEpochMilliseconds(0) + clockStart + store.now
        }
        var quarantine = Quarantine()
        var partQuarantine = PartQuarantine()
        var notices = persistentMapOf<UpstreamKey, ObservedNotice>()
        private val seen = store.client(clock)
        private val retention = StateRetention(
            instance = name,
            table = "entries",
            store = seen,
            clock = clock,
            state = RetainedState(
                RetainedRequests({ quarantine }) { quarantine = quarantine.merge(it) },
                RetainedPromptCrashes({ partQuarantine }) { crashes ->
                    partQuarantine = crashes.fold(partQuarantine, PartQuarantine::merge)
                },
                RetainedNotices({ notices }, isListed = { it in listed }) {
                    notices = notices.putAll(it)
                }
            ),
            log = {}
        )

        fun tick() = runBlocking {
            if (seen.follow()) retention.read(seen.replica)
            if (retention.isDue(seen.replica, clock.now())) retention.write(seen.replica)
        }

        fun crash(fingerprint: RequestFingerprint, attempt: String) {
            quarantine = quarantine.crashed(fingerprint, AttemptId("$name-$attempt"), clock.now())
            retention.add(quarantine.records.getValue(fingerprint))
        }

        fun answer(fingerprint: RequestFingerprint) {
            quarantine = quarantine.answered(fingerprint, clock.now())
            retention.add(quarantine.records.getValue(fingerprint))
        }

        /** Loses requests with [parts] in the crash of [upstream]. */
        fun crash(upstream: String, vararg parts: String) {
            val lost = parts.map(::PromptPart).toPersistentSet()
            partQuarantine = partQuarantine.ran(lost)
                .merge(PromptCrash(upstream, clock.now(), lost))
            retention.addPromptCrash(upstream)
        }

        /** Gets an answer of [upstream] with [notice]. */
        fun announce(upstream: UpstreamKey, notice: (now: Instant) -> ObservedNotice) {
            notices = notices.put(upstream, notice(clock.now()))
            retention.addNotice(upstream)
        }

        fun ageOf(at: Instant): Duration = clock.now() - at

        fun pauseLeft(upstream: UpstreamKey): Duration =
            notices[upstream]?.pausedUntil?.minus(clock.now()) ?: Duration.ZERO

        fun answer(vararg parts: String) {
            val answered = parts.map(::PromptPart).toSet()
            partQuarantine = partQuarantine.answered(answered, clock.now())
        }

        fun refuses(part: String): Boolean =
            partQuarantine.refusedPart(setOf(PromptPart(part))) != null

        fun deleteExpired() = runBlocking { retention.deleteExpired(seen.replica) }

        fun verdict(fingerprint: RequestFingerprint) = quarantine.verdict(fingerprint, clock.now())
    }

    private fun start(name: String): Entry = Entry(name).also { running[name] = it }

    private fun pass(time: Duration) {
        val end = store.now + time
        while (store.now < end) {
            store.now += TICK
            running.values.forEach { it.tick() }
        }
    }

    private fun killAll() = running.clear()

    private fun fingerprint(body: String, customer: String = "c") =
        RequestFingerprint(CustomerName(customer), body)

    private val poison = fingerprint("poison")

    @Nested
    inner class ARequestThatCrashedTwoUpstreams {
        @Test
        fun `is refused after all processes ended between the crashes and after them`() {
            start("a").crash(poison, "1")
            pass(200.milliseconds)
            killAll()
            start("b").also { pass(200.milliseconds) }.crash(poison, "1")
            pass(200.milliseconds)
            killAll()
            val later = start("c")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.QUARANTINED, later.verdict(poison))
        }

        @Test
        fun `is refused although the same entry saw both, each in another life`() {
            repeat(2) { life ->
                start("a").also { pass(200.milliseconds) }.crash(poison, "$life")
                pass(200.milliseconds)
                killAll()
            }
            val third = start("a")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.QUARANTINED, third.verdict(poison))
        }

        @Test
        fun `is served again after the time to live, and its row is deleted`() {
            start("a").run { repeat(2) { crash(poison, "$it") } }
            pass(200.milliseconds)
            killAll()
            store.now += 30.minutes
            val later = start("b")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.CLEAR, later.verdict(poison))
            later.deleteExpired()
            assertEquals(emptySet(), store.rows.keys)
        }
    }

    @Nested
    inner class ACrashThatWasRecordedInAnOutageOfTheStore {
        @Test
        fun `is written when the store answers again`() {
            val entry = start("a")
            pass(200.milliseconds)
            store.isAway = true
            repeat(2) { entry.crash(poison, "$it") }
            pass(9.seconds)
            store.isAway = false
            pass(1.2.seconds)
            killAll()
            val later = start("b")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.QUARANTINED, later.verdict(poison))
        }

        @Test
        fun `is written once if only the answers to writes are lost`() {
            val entry = start("a")
            pass(200.milliseconds)
            store.losesAnswers = true
            repeat(2) { entry.crash(poison, "$it") }
            pass(3.seconds)
            store.losesAnswers = false
            pass(3.seconds)
            val writes = store.writeCount
            pass(10.seconds)
            assertEquals(writes, store.writeCount)
            killAll()
            val later = start("b")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.QUARANTINED, later.verdict(poison))
        }

        @Test
        fun `is read by an entry that started during it`() {
            start("a").run { repeat(2) { crash(poison, "$it") } }
            pass(200.milliseconds)
            killAll()
            store.isAway = true
            val later = start("b")
            pass(5.seconds)
            store.isAway = false
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.QUARANTINED, later.verdict(poison))
        }
    }

    @Nested
    inner class AnAnswer {
        @Test
        fun `clears the request at all entries, also at those that start later`() {
            val one = start("a")
            val other = start("b")
            pass(200.milliseconds)
            one.crash(poison, "1")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.SUSPECT, other.verdict(poison))
            other.answer(poison)
            pass(12.seconds)
            assertEquals(QuarantineVerdict.CLEAR, one.verdict(poison))
            killAll()
            val later = start("c")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.CLEAR, later.verdict(poison))
        }

        @Test
        fun `counts although the crash is in the row of an entry that is gone`() {
            start("z").crash(poison, "1")
            pass(200.milliseconds)
            killAll()
            start("a").also { pass(200.milliseconds) }.answer(poison)
            pass(2.minutes)
            killAll()
            val later = start("c")
            pass(200.milliseconds)
            later.crash(poison, "2")
            assertEquals(QuarantineVerdict.SUSPECT, later.verdict(poison))
        }

        @Test
        fun `leaves nothing in the store once all entries have read it`() {
            val one = start("a")
            val other = start("b")
            pass(200.milliseconds)
            one.crash(poison, "1")
            pass(200.milliseconds)
            other.answer(poison)
            pass(2.minutes)
            assertEquals(emptySet(), store.rows.keys)
        }
    }

    @Nested
    inner class ARestoredStore {
        @Test
        fun `gets the row again that it lost`() {
            val entry = start("a")
            pass(200.milliseconds)
            val copy = store.copy()
            repeat(2) { entry.crash(poison, "$it") }
            pass(200.milliseconds)
            store.restore(copy)
            pass(1.2.seconds)
            killAll()
            val later = start("b")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.QUARANTINED, later.verdict(poison))
        }

        @Test
        fun `whose clock was set back does not end a record early`() {
            store.clockShift = 3.hours
            start("a").run { repeat(2) { crash(poison, "$it") } }
            pass(200.milliseconds)
            killAll()
            store.clockShift = Duration.ZERO
            val later = start("b")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.QUARANTINED, later.verdict(poison))
        }
    }

    /** Guards against prompt parts that crash more engines after each end of all processes. */
    @Nested
    inner class APromptPart {
        @Test
        fun `is refused after all processes ended between its crashes and after them`() {
            start("a").crash("u1", "bad", "first")
            pass(200.milliseconds)
            killAll()
            start("b").also { pass(600.milliseconds) }.crash("u2", "bad", "second")
            pass(200.milliseconds)
            killAll()
            val later = start("c")
            pass(200.milliseconds)
            assertTrue(later.refuses("bad"))
            assertFalse(later.refuses("first"))
        }

        @Test
        fun `that was answered since the crash is not suspect in later lives`() {
            val entry = start("a")
            entry.crash("u1", "bad", "popular")
            pass(200.milliseconds)
            entry.answer("popular")
            pass(6.seconds)
            killAll()
            val second = start("a").also { pass(200.milliseconds) }
            second.crash("u2", "popular")
            pass(200.milliseconds)
            killAll()
            val later = start("b")
            pass(200.milliseconds)
            assertFalse(later.refuses("popular"))
        }

        @Test
        fun `is served again after the time to live, and its rows are deleted`() {
            start("a").crash("u1", "bad")
            pass(600.milliseconds)
            start("b").crash("u2", "bad")
            pass(200.milliseconds)
            killAll()
            store.now += 30.minutes
            val later = start("c")
            pass(200.milliseconds)
            assertFalse(later.refuses("bad"))
            later.deleteExpired()
            assertEquals(emptySet(), store.rows.keys)
        }

        @Test
        fun `takes little of the store however many crash upstreams`() {
            val entry = start("a")
            repeat(100) { crash ->
                val parts = Array(64) { "part-$crash-$it".padEnd(64) }
                entry.crash("u$crash", *parts)
                pass(1.seconds)
            }
            assertTrue(store.rows.values.all { it.value.length <= 2 * MAX_ROW_CHARS })
        }
    }

    /** Guards against requests that upstreams had asked not to get, after all processes ended. */
    @Nested
    inner class ANoticeOfAnUpstream {
        private val upstream = UpstreamKey(InstanceId("u"), 1).also { listed += it }

        @Test
        fun `that it leaves, or takes only so many requests, holds at all entries`() {
            start("a").announce(upstream) {
                ObservedNotice(isLeaving = true, rate = ObservedRate(1.7, it))
            }
            pass(200.milliseconds)
            killAll()
            val later = start("b")
            pass(200.milliseconds)
            val notice = later.notices.getValue(upstream)
            assertTrue(notice.isLeaving)
            assertEquals(1.7, notice.rate?.requestsPerSecond)
        }

        @Test
        fun `for a pause holds until its end, at the entry that was asked`() {
            start("a").announce(upstream) { ObservedNotice(pausedUntil = it + 60.seconds) }
            pass(10.seconds)
            killAll()
            store.clockShift = (-1).hours
            val asked = start("a")
            val other = start("b")
            pass(200.milliseconds)
            assertTrue(asked.pauseLeft(upstream) > 40.seconds)
            assertTrue(asked.pauseLeft(upstream) <= 60.seconds)
            assertTrue(other.pauseLeft(upstream) <= Duration.ZERO)
        }

        @Test
        fun `of a limit that it lifted is gone from the store`() {
            val entry = start("a")
            entry.announce(upstream) { ObservedNotice(rate = ObservedRate(1.7, it)) }
            pass(200.milliseconds)
            assertEquals(1, store.rows.size)
            entry.announce(upstream) { ObservedNotice(rate = ObservedRate(null, it)) }
            pass(7.seconds)
            assertEquals(emptySet(), store.rows.keys)
        }

        /** Guards against limits that a rewritten row brings back after they were lifted. */
        @Test
        fun `of a limit is as old as the answer, not as the row that was written later`() {
            val entry = start("a")
            entry.announce(upstream) { ObservedNotice(rate = ObservedRate(1.7, it)) }
            pass(200.milliseconds)
            pass(20.seconds)
            entry.crash(poison, "1")
            pass(1.2.seconds)
            val later = start("b")
            pass(200.milliseconds)
            val observedAt = later.notices.getValue(upstream).rate?.observedAt
            assertTrue(later.ageOf(checkNotNull(observedAt)) >= 20.seconds)
        }

        @Test
        fun `that each answer repeats is written once`() {
            val entry = start("a")
            repeat(100) {
                entry.announce(upstream) { ObservedNotice(rate = ObservedRate(1.7, it)) }
                pass(200.milliseconds)
            }
            assertEquals(1, store.writeCount)
        }

        @Test
        fun `is forgotten a while after it is no longer listed`() {
            start("a").announce(upstream) { ObservedNotice(isLeaving = true) }
            pass(200.milliseconds)
            listed -= upstream
            pass(70.seconds)
            assertEquals(emptySet(), store.rows.keys)
        }
    }

    @Nested
    inner class CallersWhoseRequestsCrashUpstreamsAllTheTime {
        @Test
        fun `neither fill the store nor displace records of other customers`() {
            val entries = List(ENTRIES) { start("entry-$it") }
            pass(200.milliseconds)
            repeat(2) { entries.first().crash(poison, "$it") }
            val writesBefore = store.writeCount
            val startedAt = store.now
            repeat(FLOOD_TICKS) { tick ->
                for (entry in entries) {
                    val digest = "digest-$tick-${entry.name}".padEnd(DIGEST_CHARS)
                    entry.crash(fingerprint(digest, "flood"), "attempt-$tick")
                }
                pass(TICK)
            }
            val maxWrites = ENTRIES * ((store.now - startedAt).inWholeSeconds + 1)
            assertTrue(store.writeCount - writesBefore <= maxWrites)
            assertTrue(store.rows.values.all { it.value.length <= MAX_ROW_CHARS })
            killAll()
            val later = start("later")
            pass(200.milliseconds)
            assertEquals(QuarantineVerdict.QUARANTINED, later.verdict(poison))
        }

        @Test
        fun `do not fill the memory of an entry`() {
            var quarantine = Quarantine().crashed(poison, AttemptId("1"), Instant.DISTANT_PAST)
            repeat(5_000) {
                val flood = fingerprint("$it", "flood")
                quarantine = quarantine.crashed(flood, AttemptId("$it"), Instant.DISTANT_PAST)
            }
            assertTrue(quarantine.records.size <= 4_096)
            assertTrue(poison in quarantine.records)
        }
    }

    private companion object {
        val TICK = 50.milliseconds
        const val ENTRIES = 24
        const val FLOOD_TICKS = 100

        /** Length of a digest in hexadecimal. */
        const val DIGEST_CHARS = 64

        /** A quarter of the largest row that a store takes. */
        const val MAX_ROW_CHARS = 16_384
    }
}
