package org.shallotplank.core.dissemination

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Nested
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName

class DisseminationTest {
    private val start = Instant.fromEpochSeconds(0)
    private val neighbour = InstanceId("entry-2")
    private val process = Process(start)

    @Nested
    inner class Configuration {
        @Test
        fun `is in force once the process holds all needed sections`() {
            process.readTable(manifest(1))
            assertEquals(null, process.state.inForce)
            process.answerFetches()
            assertEquals(ConfigurationVersion(1), process.state.inForce?.version)
        }

        @Test
        fun `is not replaced by an older version that arrives late`() {
            process.catchUp(manifest(5))
            process.receive(PeerMessage.ConfigurationPush(manifest(4).deltaFrom(null)))
            process.readTable(manifest(3))
            assertEquals(ConfigurationVersion(5), process.state.known?.version)
        }

        @Test
        fun `is forwarded as the change from the previous version`() {
            process.catchUp(manifest(1))
            val received = PeerMessage.ConfigurationPush(manifest(2).deltaFrom(manifest(1)))
            process.receive(received, from = InstanceId("entry-3"))
            process.answerFetches()
            val push = process.sent<PeerMessage.ConfigurationPush>().single()
            assertEquals(ConfigurationVersion(1), push.delta.base)
            assertEquals(manifest(2), push.delta.applyTo(manifest(1)))
        }

        @Test
        fun `is requested in full when a change is based on an unknown version`() {
            process.catchUp(manifest(1))
            process.receive(PeerMessage.ConfigurationPush(manifest(3).deltaFrom(manifest(2))))
            val request = process.sent<PeerMessage.ManifestRequest>().single()
            assertEquals(ConfigurationVersion(1), request.known)
        }

        @Test
        fun `is not in force while a section is damaged, and the section is fetched again`() {
            process.readTable(manifest(1))
            val sha256 = manifest(1).sections.first().sha256
            process.apply(DisseminationEvent.SectionFetched(process.now, sha256, "damaged"))
            assertEquals(null, process.state.inForce)
            assertTrue(sha256 in process.state.fetches)
        }
    }

    @Nested
    inner class Readiness {
        @Test
        fun `requires a read of the table`() {
            process.receive(PeerMessage.ConfigurationPush(manifest(1).deltaFrom(null)))
            process.answerFetches()
            assertFalse(process.state.isReady)
            process.readTable(manifest(1))
            assertTrue(process.state.isReady)
        }

        @Test
        fun `is reached through peers while the table is unavailable`() {
            process.apply(process.tableRead(TableReadResult.Unavailable))
            process.receive(PeerMessage.ConfigurationPush(manifest(1).deltaFrom(null)))
            process.answerFetches()
            assertFalse(process.state.isReady)
            process.answerDigests()
            assertTrue(process.state.isReady)
        }

        @Test
        fun `is lost after a suspension until the table is read again`() {
            process.catchUp(manifest(1))
            val readBeforePause = process.tableRead(TableReadResult.Found(manifest(1)))
            process.tick(10.seconds)
            assertFalse(process.state.isReady)
            process.apply(readBeforePause.copy(now = process.now))
            assertFalse(process.state.isReady)
            process.readTable(manifest(1))
            assertTrue(process.state.isReady)
        }
    }

    @Nested
    inner class Notices {
        @Test
        fun `are reported as new once and expire`() {
            val notice = crashNotice("f1", start + 1.minutes)
            process.receive(PeerMessage.Notices(persistentListOf(notice)))
            process.receive(PeerMessage.Notices(persistentListOf(notice)))
            assertEquals(1, process.effects.count { it is DisseminationEffect.NoticesLearned })
            process.tick(2.minutes)
            assertTrue(process.state.notices.isEmpty())
        }
    }

    @Nested
    inner class Loads {
        @Test
        fun `are reported once per interval`() {
            val load = ZoneLoad(ZoneName("khomas-a"), 1, 10, measuredAtMillis = 0)
            process.apply(DisseminationEvent.LoadMeasured(start, load))
            val soon = load.copy(requests = 2, measuredAtMillis = 1000)
            process.apply(DisseminationEvent.LoadMeasured(start, soon))
            assertEquals(1, process.state.loads.getValue(load.zone).requests)
        }
    }

    /** One process with one peer, whose messages the tests supply. */
    private inner class Process(var now: Instant) {
        private val dissemination = Dissemination(random = Random(1))
        private val self = Peer(InstanceId("entry-1"), ZoneName("khomas-a"), "windhoek")
        val effects = mutableListOf<DisseminationEffect>()
        var state = dissemination.start(self, now)
            private set

        init {
            val peer = Peer(neighbour, ZoneName("khomas-b"), "windhoek")
            apply(DisseminationEvent.PeersChanged(now, persistentListOf(peer), 2))
            tick(1.milliseconds)
        }

        fun apply(event: DisseminationEvent) {
            val step = dissemination.reduce(state, event)
            state = step.state
            effects += step.effects
        }

        fun tick(elapsed: kotlin.time.Duration) {
            now += elapsed
            apply(DisseminationEvent.Tick(now))
        }

        fun receive(message: PeerMessage, from: InstanceId = neighbour) =
            apply(DisseminationEvent.MessageReceived(now, from, message))

        fun tableRead(result: TableReadResult): DisseminationEvent.TableRead {
            val read = effects.last { it is DisseminationEffect.ReadTable }
            assertIs<DisseminationEffect.ReadTable>(read)
            return DisseminationEvent.TableRead(now, read.readId, result)
        }

        fun readTable(manifest: Manifest) = apply(tableRead(TableReadResult.Found(manifest)))

        fun catchUp(manifest: Manifest) {
            readTable(manifest)
            answerFetches()
            assertTrue(state.isReady)
            effects.removeAll { it is DisseminationEffect.Send }
        }

        fun answerFetches() {
            val wanted = state.fetches.keys
            contents.filterKeys { it in wanted }.forEach { (sha256, content) ->
                apply(DisseminationEvent.SectionFetched(now, sha256, content))
            }
        }

        fun answerDigests() = sent<PeerMessage.Digest>().forEach {
            receive(it.copy(version = state.knownVersion, isReply = true))
        }

        inline fun <reified M : PeerMessage> sent(): List<M> =
            effects.filterIsInstance<DisseminationEffect.Send>().map { it.message }
                .filterIsInstance<M>()
    }

    private companion object {
        private val contents = (0..9).map { "content $it" }.associateBy { Sha256.of(it) }

        /** A manifest with one section that is the same in all versions and one that changes. */
        fun manifest(version: Long): Manifest {
            val sections = listOf("fixed" to "content 0", "service" to "content $version")
            return Manifest(
                version = ConfigurationVersion(version),
                sections = sections.map { (name, content) ->
                    Section(SectionName(name), Sha256.of(content), content.length)
                }.toPersistentList()
            )
        }
    }
}
