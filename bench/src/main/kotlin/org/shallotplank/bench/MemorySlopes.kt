package org.shallotplank.bench

import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.shallotplank.core.AttemptId
import org.shallotplank.core.CustomerName
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.agent.AgentAttempt
import org.shallotplank.core.agent.AgentReport
import org.shallotplank.core.agent.UpstreamState
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Payload
import org.shallotplank.core.config.Customer
import org.shallotplank.core.config.Operation
import org.shallotplank.core.config.Service
import org.shallotplank.core.config.ServiceKind
import org.shallotplank.core.dissemination.Notice
import org.shallotplank.core.entry.Call
import org.shallotplank.core.entry.IncomingCall
import org.shallotplank.core.entry.KnownUpstream
import org.shallotplank.core.membership.Membership
import org.shallotplank.core.membership.MembershipEvent
import org.shallotplank.core.membership.MembershipState
import org.shallotplank.core.quarantine.RequestFingerprint
import org.shallotplank.core.routing.UpstreamView

/** Measures the memory of one more item of each kind that a process holds. */
internal fun memorySlopes(): ScenarioResult {
    val system = SyntheticSystem(StatedSize.MEMBERS)
    val figures = listOf(
        slope("member of the instance list", count = system.instances.size) {
            members(system.instances)
        },
        slope("upstream that an entry uses") { index -> knownUpstream(index) },
        slope("customer, with its token index", StatedSize.CUSTOMERS) { customers() },
        slope("section of 4,800 bytes") { index -> "section $index".padEnd(SECTION_BYTES, 'x') },
        slope("notice") { index -> crashNotice(index) },
        slope("open request at an entry, 2 KB body") { index -> call(index) },
        slope("open request at an agent, 2 KB body") { index -> attempt(index) }
    )
    return ScenarioResult(figures.toPersistentList())
}

private fun crashNotice(index: Int) = Notice.Crashed(
    fingerprint = RequestFingerprint(CustomerName("customer"), "f".repeat(HASH_CHARS) + index),
    attempt = AttemptId("attempt-$index"),
    at = START,
    expiresAt = START
)

/** Memory per item of the object that [build] returns, which holds [count] items. */
private fun slope(name: String, count: Int, build: () -> Any): Figure {
    val before = usedBytes()
    val kept = build()
    val bytes = (usedBytes() - before).toDouble() / count
    check(kept !== Unit)
    return Figure("one more", name, bytes, "B")
}

private fun slope(name: String, item: (Int) -> Any): Figure =
    slope(name, ITEMS) { List(ITEMS) { item(it) } }

private fun usedBytes(): Long {
    val runtime = Runtime.getRuntime()
    repeat(COLLECTIONS) {
        System.gc()
        Thread.sleep(SETTLE_MILLIS)
    }
    return runtime.totalMemory() - runtime.freeMemory()
}

private fun members(instances: List<Instance>): MembershipState {
    val membership = Membership()
    val copies = instances.map { it.copy(id = InstanceId(String(it.id.value.toCharArray()))) }
    val event = MembershipEvent.ListRead(START, copies.toPersistentList())
    return membership.reduce(MembershipState(), event).state
}

private fun knownUpstream(index: Int): Any {
    val system = instanceOf(index)
    val report = AgentReport(
        instance = system.id,
        service = ServiceName("model-$index"),
        zone = system.zone,
        state = UpstreamState.READY,
        concurrency = 16,
        running = 3,
        queued = 0,
        cachedPrefixes = List(PREFIXES) { "%016x".format(index * PREFIXES + it) }.toPersistentList()
    )
    val view = UpstreamView(system.id, system.zone, system.region, system.address)
    return KnownUpstream(report.service, view, connected = true, report = report)
}

private fun instanceOf(index: Int): Instance =
    smallSystem.instances[index % smallSystem.instances.size]
        .copy(id = InstanceId("i-%08x".format(index)))

private val smallSystem = SyntheticSystem(10)

private fun customers(): Any {
    val customers = List(StatedSize.CUSTOMERS) { customer(it) }.toPersistentList()
    return listOf(customers, customers.associateBy { it.tokenSha256 }.toPersistentMap())
}

private fun customer(index: Int) =
    Customer(CustomerName("customer-%05d".format(index)), "%064x".format(index))

private fun call(index: Int): Any = Call(
    request = IncomingCall(
        requestId = RequestId("request-$index"),
        callerRequestId = "caller-$index",
        service = model.name,
        method = "POST",
        path = "/v1/drafts",
        contentType = "application/json",
        body = Payload(ByteArray(BODY_BYTES)),
        digest = "%064x".format(index),
        tokenSha256 = "%064x".format(index),
        idempotencyKey = null
    ),
    service = model,
    operation = draft,
    customer = anyCustomer,
    deadline = START + 30.seconds
)

private fun attempt(index: Int): Any = AgentAttempt(
    offer = AttemptOffer(
        requestId = RequestId("request-$index"),
        attemptId = AttemptId("attempt-$index"),
        service = model.name,
        customer = anyCustomer.name,
        method = "POST",
        path = "/v1/drafts",
        body = Payload(ByteArray(BODY_BYTES)),
        digest = "%064x".format(index),
        remainingMillis = 30_000
    ),
    connection = null,
    deadline = START + 1.minutes
)

private val draft = Operation("draft", "POST", "/v1/drafts", idempotent = true, streamed = true)
private val model =
    Service(ServiceName("model-0"), ServiceKind.MODEL, operations = persistentListOf(draft))
private val anyCustomer = customer(0)
private val START = Instant.fromEpochSeconds(0)
private const val ITEMS = 5_000
private const val SECTION_BYTES = 4_800
private const val BODY_BYTES = 2_048
private const val HASH_CHARS = 64
private const val PREFIXES = 16
private const val COLLECTIONS = 3
private const val SETTLE_MILLIS = 20L
