package org.shallotplank.bench

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlin.time.measureTime
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Address
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.membership.CandidateSelection
import org.shallotplank.core.routing.PrefixFingerprint
import org.shallotplank.core.routing.ReportedLoad
import org.shallotplank.core.routing.RoutingRequest
import org.shallotplank.core.routing.UpstreamView
import org.shallotplank.core.routing.chooseUpstream

/** Measures the real time of a routing decision; its figures differ from run to run. */
internal fun decisionCost(seed: Long): ScenarioResult {
    val sizes = listOf(12, 120, 1_200, 5_300)
    val bounded = sizes.map { size -> Point(size.toDouble(), decisionMicros(size, seed, true)) }
    val scanning = sizes.map { size -> Point(size.toDouble(), decisionMicros(size, seed, false)) }
    val variants = mapOf(OWN_VARIANT to bounded, "all upstreams as candidates" to scanning)
    val figures = variants.flatMap { (variant, points) ->
        points.map { Figure(variant, "decision at ${it.x.formatted()} upstreams", it.y, "us") }
    }
    val series = variants.map { (variant, points) ->
        Series(variant, "upstreams", "time of a decision, us", points.toPersistentList())
    }
    return resultOf(figures, series)
}

private fun decisionMicros(upstreams: Int, seed: Long, isBounded: Boolean): Double {
    val random = Random(seed)
    val now = Instant.fromEpochSeconds(0)
    val ids = List(upstreams) { InstanceId("upstream-$it") }
    val kept = if (isBounded) boundedCandidates(ids) else ids
    val candidates = kept.map { view(it, now, random) }.toPersistentList()
    val request = RoutingRequest(
        ZoneName("zone-a"),
        "region",
        ServiceName("draft-model"),
        PrefixFingerprint("prefix-1")
    )
    repeat(WARM_UP_DECISIONS) { chooseUpstream(candidates, request, now, random) }
    val time = measureTime {
        repeat(MEASURED_DECISIONS) { chooseUpstream(candidates, request, now, random) }
    }
    return time.inMillis() * 1000 / MEASURED_DECISIONS
}

/** Candidates of one entry if the ratio of entries to upstreams is that of the full size. */
private fun boundedCandidates(ids: List<InstanceId>): List<InstanceId> {
    val upstreams = ids.map { instance(it, InstanceRole.UPSTREAM) }
    val entryCount = maxOf(MIN_ENTRIES, ids.size * ENTRIES_AT_FULL_SIZE / UPSTREAMS_AT_FULL_SIZE)
    val entries = List(entryCount) { instance(InstanceId("entry-$it"), InstanceRole.ENTRY) }
    return CandidateSelection().candidates(entries.first(), entries, upstreams).map { it.id }
}

private fun instance(id: InstanceId, role: InstanceRole) = Instance(
    id = id,
    role = role,
    zone = ZoneName("zone-a"),
    region = "region",
    address = Address("127.0.0.1", 1)
)

private const val MIN_ENTRIES = 4
private const val ENTRIES_AT_FULL_SIZE = 1_900
private const val UPSTREAMS_AT_FULL_SIZE = 5_300

private fun view(id: InstanceId, now: Instant, random: Random) = UpstreamView(
    id = id,
    zone = ZoneName("zone-${'a' + random.nextInt(3)}"),
    region = "region",
    address = Address("127.0.0.1", 1),
    load = ReportedLoad(random.nextInt(16), 0, 20.milliseconds, now),
    concurrencyLimit = 16
)

private const val WARM_UP_DECISIONS = 200_000
private const val MEASURED_DECISIONS = 50_000
