package org.shallotplank.bench

import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.agent.AgentReport
import org.shallotplank.core.agent.UpstreamState
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.call.Payload
import org.shallotplank.core.config.Customer
import org.shallotplank.core.execution.ExecutionRecord
import org.shallotplank.core.execution.ExecutionState
import org.shallotplank.core.execution.StoredAnswer
import org.shallotplank.core.membership.CandidateSelection
import org.shallotplank.core.membership.Membership
import org.shallotplank.core.membership.MembershipEvent
import org.shallotplank.core.membership.MembershipState
import org.shallotplank.core.membership.PeerSelection
import org.shallotplank.wire.Frame

/** Measures the time of single operations, and the size of single messages and records. */
internal fun workCost(): ScenarioResult {
    val figures = tokenFigures() + membershipFigures() + sizeFigures()
    return ScenarioResult(figures.toPersistentList())
}

private fun tokenFigures(): List<Figure> {
    val bytes = PeerCodec.encode(tokenFrame())
    val mac = Mac.getInstance(MAC_ALGORITHM)
    mac.init(SecretKeySpec(ByteArray(MAC_KEY_BYTES) { 1 }, MAC_ALGORITHM))
    return listOf(
        cost("encode a token's frame", SHORT_WORK) { PeerCodec.encode(tokenFrame()) },
        cost("decode a token's frame", SHORT_WORK) { PeerCodec.decodeFrame(bytes) },
        cost("authenticate a token's frame", SHORT_WORK) { mac.doFinal(bytes) },
        size("a token's frame with its code", bytes.size + MAC_BYTES)
    )
}

private fun tokenFrame(): Frame = Frame.Reply(
    requestId = RequestId("0123456789abcdef0123"),
    attemptId = AttemptId("0123456789abcdef0123"),
    reply = AttemptReply.Chunk(
        sequence = 100,
        eventId = 100,
        payload = Payload("id: 100\ndata: {\"token\":\"strada\"}\n\n".encodeToByteArray())
    )
)

private fun membershipFigures(): List<Figure> {
    val system = SyntheticSystem(StatedSize.MEMBERS)
    val membership = Membership()
    val now = Instant.fromEpochSeconds(0)
    val read = MembershipEvent.ListRead(now, system.instances)
    val state = membership.reduce(MembershipState(), read).state
    val id = system.agents.first().id
    val heartbeat = MembershipEvent.HeartbeatReceived(now, id, incarnation = 1)
    val entry = system.entries.first()
    val upstreams = system.agents.filter { it.service == SyntheticSystem.service(0) }
    val count = system.instances.size
    return listOf(
        cost("take a list of $count instances", LONG_WORK) { membership.reduce(state, read) },
        cost("membership tick with $count members", LONG_WORK) {
            membership.reduce(state, MembershipEvent.Tick(now))
        },
        cost("take a heartbeat", SHORT_WORK) { membership.reduce(state, heartbeat) },
        cost("choose peers among ${system.entries.size} entries", LONG_WORK) {
            PeerSelection().peers(entry, system.entries)
        },
        cost("choose candidates among ${upstreams.size} upstreams", LONG_WORK) {
            CandidateSelection().candidates(entry, system.entries, upstreams)
        },
        candidateFigure(system, upstreams)
    )
}

private fun candidateFigure(system: SyntheticSystem, upstreams: List<Instance>): Figure {
    val selection = CandidateSelection()
    val entries = system.entries.filter { it.region == system.entries.first().region }
    val largest = entries.maxOf { selection.candidates(it, system.entries, upstreams).size }
    return Figure("one service", "candidates of an entry, at most", largest.toDouble(), "upstreams")
}

private fun sizeFigures(): List<Figure> {
    val report = AgentReport(
        instance = InstanceId("i-00000001"),
        service = ServiceName("model-1"),
        zone = SyntheticSystem(10).entries.first().zone,
        state = UpstreamState.READY,
        concurrency = 16,
        running = 3,
        queued = 0,
        stepMicros = 36_000,
        cachedPrefixes = persistentListOf()
    )
    val record = ExecutionRecord(
        attemptId = AttemptId("0123456789abcdef0123"),
        digest = "%064x".format(1),
        holder = InstanceId("i-00000001"),
        holderIncarnation = 1_796_000_000_000,
        state = ExecutionState.STARTED,
        startedAtMillis = 1_796_000_000_000,
        deadlineAtMillis = 1_796_000_030_000
    )
    val answer = StoredAnswer(AnswerHead(200, "application/json"), "x".repeat(ANSWER_CHARS))
    val finished = record.copy(state = ExecutionState.FINISHED, answer = answer)
    val customer = Customer(CustomerName("customer-00001"), "%064x".format(1), 2, 128)
    val instance = SyntheticSystem(StatedSize.MEMBERS).agents.first()
    val manifest =
        SyntheticConfiguration(MemberFixture.SECTIONS, MemberFixture.SECTION_BYTES).manifest
    return listOf(
        size("a report as heartbeat", PeerCodec.encode(Frame.Report(report)).size),
        size("a ping as heartbeat", PeerCodec.encode(Frame.Ping(1_000_000)).size),
        size("record of a start in the table", Json.encodeToString(record).length),
        size("record with an answer of 1 KB", Json.encodeToString(finished).length),
        size("manifest of 216 sections", Json.encodeToString(manifest).length),
        size("customer in a section", Json.encodeToString(customer).length),
        size("line of the instance list", Json.encodeToString(instance).length)
    )
}

private fun size(name: String, bytes: Int) = Figure("one", name, bytes.toDouble(), "B")

/** Runs [work] [times] times to warm up, then measures the mean time of [times] more runs. */
private fun cost(name: String, times: Int, work: () -> Any): Figure {
    var sink = 0
    repeat(times) { sink += System.identityHashCode(work()) }
    val startedNanos = System.nanoTime()
    repeat(times) { sink += System.identityHashCode(work()) }
    val nanos = System.nanoTime() - startedNanos
    // Uses the results, so that the JIT compiler can't remove the work.
    check(sink != 1)
    return Figure("one", name, nanos / NANOS_PER_MICRO / times, "us")
}

private const val SHORT_WORK = 200_000
private const val LONG_WORK = 300
private const val MAC_ALGORITHM = "HmacSHA256"
private const val MAC_KEY_BYTES = 32
private const val MAC_BYTES = 16
private const val ANSWER_CHARS = 1_368
private const val NANOS_PER_MICRO = 1_000.0
