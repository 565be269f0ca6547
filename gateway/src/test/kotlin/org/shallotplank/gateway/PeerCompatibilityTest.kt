package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.InstanceId
import org.shallotplank.core.gateway.ObservedRate
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.quarantine.PartQuarantine
import org.shallotplank.core.quarantine.PromptCrash
import org.shallotplank.core.quarantine.PromptPart
import org.shallotplank.core.quarantine.Quarantine
import org.shallotplank.core.quarantine.RequestFingerprint
import org.shallotplank.gateway.group.GroupLease
import org.shallotplank.gateway.group.KeeperCandidate
import org.shallotplank.gateway.peer.PROMPT_CRASHES
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.RowCopy
import org.shallotplank.gateway.peer.UPSTREAM_RATES
import org.shallotplank.gateway.peer.WAITING
import org.shallotplank.gateway.peer.promptCrashTable
import org.shallotplank.gateway.peer.reportedVersions
import org.shallotplank.gateway.peer.returnedAge
import org.shallotplank.gateway.peer.revisionOf
import org.shallotplank.gateway.peer.upstreamRateTable
import org.shallotplank.gateway.retention.RetainedRow
import org.shallotplank.gateway.retention.StateRetention
import org.shallotplank.gateway.retention.StoreTimes
import org.shallotplank.gateway.retention.toRecord
import org.shallotplank.gateway.retention.toRetained
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow

/** Guards against reports that entries of build 4c2d8cf reject, which would then count as away. */
@OptIn(ExperimentalSerializationApi::class)
class PeerCompatibilityTest {
    private val clock = SteadyClock()
    private val quarantine = PartQuarantine().merge(
        PromptCrash(
            upstream = "u@1",
            at = clock.now() - 3.seconds,
            parts = persistentSetOf(PromptPart("a"), PromptPart("b")),
            establishedParts = persistentSetOf(PromptPart("b"))
        )
    )
    private val learned = mutableListOf<PromptCrash>()

    private fun crashes(own: PartQuarantine) = promptCrashTable(
        clock = clock,
        quarantine = { own },
        onLearned = { learned += it },
        log = { error("unexpected line: $it") }
    )

    private fun report(tableVersions: Map<String, Long>) = PeerReport(
        instance = "e",
        incarnation = 7,
        publicAddress = "10.0.0.2:2",
        zone = "a",
        isReady = true,
        isStopping = false,
        tableVersions = tableVersions,
        inFlight = emptyList(),
        crashes = emptyList(),
        leasesAgeMillis = 3
    )

    @Nested
    inner class ReportsOfThisBuild {
        @Test
        fun `are read by build 4c2d8cf`() {
            val version = crashes(quarantine).version() ?: 0
            val report =
                report(
                    mapOf(
                        "servers" to 5L,
                        PROMPT_CRASHES to version,
                        UPSTREAM_RATES to 2L,
                        WAITING to 3L
                    )
                )
            val decoded = Cbor.decodeFromByteArray<Report4c2d8cf>(Cbor.encodeToByteArray(report))
            assertEquals(5, decoded.tableVersions["servers"])
            assertEquals("10.0.0.2:2", decoded.publicAddress)
        }

        @Test
        fun `name no table of crashes while there were none`() {
            assertEquals(null, crashes(PartQuarantine()).version())
        }
    }

    @Nested
    inner class ReportsOfBuild4c2d8cf {
        @Test
        fun `are read by this build`() {
            val bytes = Cbor.encodeToByteArray(report(mapOf("servers" to 5L)))
            val old = Cbor.decodeFromByteArray<Report4c2d8cf>(bytes)
            val decoded = Cbor.decodeFromByteArray<PeerReport>(Cbor.encodeToByteArray(old))
            assertEquals(mapOf("servers" to 5L), decoded.tableVersions)
        }
    }

    /** Guards against entries that take a lost history of a restored store for the newer one. */
    @Nested
    inner class RevisionsOfTableCopies {
        private val revisions =
            mapOf("op" to StoreRevision(era = 2, version = 35), "servers" to StoreRevision.NONE)

        @Test
        fun `are read as they were reported`() {
            val bytes = Cbor.encodeToByteArray(report(reportedVersions(revisions)))
            val decoded = Cbor.decodeFromByteArray<PeerReport>(bytes)
            assertEquals(revisions, revisions.mapValues { (table, _) -> decoded.revisionOf(table) })
            assertEquals(null, decoded.revisionOf("entries"))
        }

        @Test
        fun `are versions beside unknown tables to build 4c2d8cf`() {
            val bytes = Cbor.encodeToByteArray(report(reportedVersions(revisions)))
            val decoded = Cbor.decodeFromByteArray<Report4c2d8cf>(bytes)
            assertEquals(35, decoded.tableVersions["op"])
            assertEquals(-1, decoded.tableVersions["servers"])
            assertEquals(1, (decoded.tableVersions.keys - revisions.keys).size)
        }

        /** Guards against rows that expired in an outage and that a copy shows as departures. */
        @Test
        fun `come with the time since the store returned, which build 4c2d8cf skips`() {
            val versions = reportedVersions(revisions, returnedAge = 3.seconds)
            val bytes = Cbor.encodeToByteArray(report(versions))
            assertEquals(3.seconds, Cbor.decodeFromByteArray<PeerReport>(bytes).returnedAge)
            val decoded = Cbor.decodeFromByteArray<Report4c2d8cf>(bytes)
            assertEquals(35, decoded.tableVersions["op"])
            assertEquals(2, (decoded.tableVersions.keys - revisions.keys).size)
        }

        @Test
        fun `of build 4c2d8cf say nothing of a return of the store`() {
            val bytes = Cbor.encodeToByteArray(report(mapOf("op" to 500L)))
            val old = Cbor.decodeFromByteArray<Report4c2d8cf>(bytes)
            val decoded = Cbor.decodeFromByteArray<PeerReport>(Cbor.encodeToByteArray(old))
            assertEquals(null, decoded.returnedAge)
        }

        @Test
        fun `of build 4c2d8cf precede those of any era`() {
            val bytes = Cbor.encodeToByteArray(report(mapOf("op" to 500L)))
            val old = Cbor.decodeFromByteArray<Report4c2d8cf>(bytes)
            val decoded = Cbor.decodeFromByteArray<PeerReport>(Cbor.encodeToByteArray(old))
            val revision = checkNotNull(decoded.revisionOf("op"))
            assertTrue(revision > StoreRevision.NONE)
            assertTrue(revision < StoreRevision(era = 1, version = 0))
        }
    }

    /** Guards against leases that no longer can be handed over between builds. */
    @Nested
    inner class Leases {
        private val term = GroupLease.lastTermBefore(era = 2) + 1
        private val lease =
            GroupLease("e1", 11, term).withDeputies(listOf(KeeperCandidate("e2", 21)))

        @Test
        fun `of this build are read by build 4c2d8cf, whose next term is of the same era`() {
            val old = Json.decodeFromString<GroupLease4c2d8cf>(Json.encodeToString(lease))
            assertEquals(term, old.term)
            assertEquals(1, old.deputies.single().slot)
            assertTrue(lease.copy(term = old.term + 1).isOfEra(2))
        }

        @Test
        fun `of build 4c2d8cf are read by this build, and end with their era`() {
            val old = GroupLease4c2d8cf("e1", 11, 3, listOf(Deputy4c2d8cf("e2", 21, 1)))
            val decoded = Json.decodeFromString<GroupLease>(Json.encodeToString(old))
            assertEquals(lease.copy(term = 3), decoded)
            assertTrue(decoded.isOfEra(0))
            assertFalse(decoded.isOfEra(1))
        }
    }

    @Nested
    inner class TheTableOfCrashes {
        private fun decode(rows: List<RowCopy>) = crashes(PartQuarantine())
            .learn(rows.map { StoreRow(it.key, it.value, it.version) })

        @Test
        fun `is read by other entries as it was offered`() {
            decode(crashes(quarantine).rows())
            val expected = quarantine.crashes.getValue("u@1")
            val crash = learned.single()
            assertEquals(expected.copy(at = crash.at), crash)
            assertEquals(0, (expected.at - crash.at).inWholeMilliseconds / TOLERANCE_MILLIS)
        }

        @Test
        fun `is read although a later build added a field`() {
            val value = """{"ageMillis":5,"parts":["a"],"added":{"later":1}}"""
            decode(listOf(RowCopy("u@1", value, 0)))
            assertEquals(persistentSetOf(PromptPart("a")), learned.single().parts)
        }
    }

    @Nested
    inner class TheTableOfLimits {
        private val upstream = UpstreamKey(InstanceId("u"), 1)
        private val limit = ObservedRate(requestsPerSecond = 1.3, observedAt = clock.now())

        private fun rates(own: () -> Map<UpstreamKey, ObservedRate>) = upstreamRateTable(
            clock = clock,
            rates = own,
            onLearned = { learnedRates = it },
            log = { error("unexpected line: $it") }
        )

        private var learnedRates = persistentMapOf<UpstreamKey, ObservedRate>()

        @Test
        fun `is read by other entries as it was offered, also when a limit is lifted`() {
            for (rate in listOf(1.3, null)) {
                val offered = rates { mapOf(upstream to limit.copy(requestsPerSecond = rate)) }
                val rows = offered.rows().map { StoreRow(it.key, it.value, it.version) }
                rates { emptyMap() }.learn(rows)
                assertEquals(rate, learnedRates.getValue(upstream).requestsPerSecond)
            }
        }

        @Test
        fun `has another version when a limit changes or was confirmed later`() {
            var own = emptyMap<UpstreamKey, ObservedRate>()
            val table = rates { own }
            assertEquals(null, table.version())
            own = mapOf(upstream to limit)
            val first = table.version()
            assertEquals(first, table.version())
            own = mapOf(upstream to limit.copy(observedAt = limit.observedAt + 2.seconds))
            val confirmed = table.version()
            assertNotEquals(first, confirmed)
            own = mapOf(upstream to limit.copy(requestsPerSecond = null))
            assertNotEquals(confirmed, table.version())
        }
    }

    /** Guards against rows in the entry table that another build takes for entries or leases. */
    @Nested
    inner class RetainedRows {
        @Test
        fun `are neither entries nor leases to build 4c2d8cf`() {
            val prefixes4c2d8cf = listOf("entry/", "group/")
            assertTrue(prefixes4c2d8cf.none { StateRetention.KEY_PREFIX.startsWith(it) })
        }

        @Test
        fun `are read although a later build added a field`() {
            val value = """{"requests":[{"customer":"c","bodySha256":"00",
                "crashes":[{"attempt":"a","atMillis":5,"added":1}],"added":{}}],"added":[]}"""
            val request = RetainedRow.decode(value).requests.single()
            assertEquals("a", request.crashes.single().attempt)
        }

        @Test
        fun `are read as they were written`() {
            val times = StoreTimes(clock.now(), offset = 3.seconds)
            val record = Quarantine()
                .crashed(RequestFingerprint(CustomerName("c"), "00"), AttemptId("a"), clock.now())
                .records.values.single()
            val row = RetainedRow(listOf(record.toRetained(times)))
            val read = RetainedRow.decode(row.encode()).requests.single()
            val decoded = read.toRecord(times, timeToLive = Quarantine().timeToLive)
            assertEquals(record.fingerprint, decoded.fingerprint)
            assertEquals(record.crashes.map { it.attempt }, decoded.crashes.map { it.attempt })
        }
    }

    private companion object {
        const val TOLERANCE_MILLIS = 500
    }
}

/** The report of build 4c2d8cf, which rejects unknown fields. */
@Serializable
private class Report4c2d8cf(
    val instance: String,
    val incarnation: Long,
    val publicAddress: String,
    val zone: String,
    val isReady: Boolean,
    val isStopping: Boolean,
    val tableVersions: Map<String, Long>,
    val inFlight: List<InFlight4c2d8cf>,
    val crashes: List<Crash4c2d8cf>,
    val leaving: List<Leaving4c2d8cf> = emptyList(),
    val groupsLeft: List<String> = emptyList(),
    val slowRanks: List<SlowRank4c2d8cf> = emptyList(),
    val leases: List<Lease4c2d8cf> = emptyList(),
    val leasesAgeMillis: Long? = null
)

@Serializable
private class InFlight4c2d8cf(val id: String, val incarnation: Long, val count: Int)

@Serializable
private class Crash4c2d8cf(val customer: String, val bodySha256: String, val attempt: String)

@Serializable
private class Leaving4c2d8cf(val id: String, val incarnation: Long)

@Serializable
private class SlowRank4c2d8cf(val id: String, @SerialName("pace") val slowdown: Double)

/** The lease row of build 4c2d8cf, which rejects unknown fields. */
@Serializable
private class GroupLease4c2d8cf(
    val holder: String,
    val incarnation: Long,
    val term: Long,
    val deputies: List<Deputy4c2d8cf> = emptyList()
)

@Serializable
private class Deputy4c2d8cf(val instance: String, val incarnation: Long, val slot: Int)

@Serializable
private class Lease4c2d8cf(val group: String, val term: Long)
