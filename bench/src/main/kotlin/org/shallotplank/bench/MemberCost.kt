package org.shallotplank.bench

import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceRole

/** Measures the traffic and processor time of one member for several numbers of members. */
internal fun memberCost(seed: Long): ScenarioResult {
    warmUp(seed)
    val figures = MEMBER_COUNTS.flatMap { members ->
        val system = SyntheticSystem(members)
        listOf(system.entries, system.agents).flatMap { figures(system, busiest(system, it), seed) }
    }
    return ScenarioResult(figures.toPersistentList())
}

/** The instance with the most links. */
private fun busiest(system: SyntheticSystem, instances: List<Instance>): Instance =
    instances.maxBy { system.links.getValue(it.id).size }

private fun figures(system: SyntheticSystem, member: Instance, seed: Long): List<Figure> {
    val traffic = MemberFixture(system, member, seed).run(MEASURED)
    val seconds = traffic.seconds.toDouble()
    val role = if (member.role == InstanceRole.ENTRY) "entry" else "agent"
    val variant = "busiest $role of ${system.instances.size} members"
    val messages = (traffic.receivedMessages + traffic.sentMessages).toDouble()
    val nanos = (traffic.messageNanos + traffic.timerNanos).toDouble()
    val links = system.links.getValue(member.id).size
    return listOf(
        Figure(variant, "links", links.toDouble(), "links"),
        Figure(variant, "messages sent and received", messages / seconds, "1/s"),
        Figure(
            variant = variant,
            name = "bytes sent",
            value = traffic.sentBytes / seconds,
            unit = "B/s",
            target = Target.AtMost(StatedSize.CONTROL_BYTES_PER_SECOND)
        ),
        Figure(
            variant = variant,
            name = "bytes received",
            value = traffic.receivedBytes / seconds,
            unit = "B/s",
            target = Target.AtMost(StatedSize.CONTROL_BYTES_PER_SECOND)
        ),
        Figure(
            variant = variant,
            name = "processor time per message received",
            value = traffic.messageNanos / NANOS_PER_MICRO / traffic.receivedMessages,
            unit = "us"
        ),
        Figure(
            variant = variant,
            name = "share of a core",
            value = nanos / NANOS_PER_SECOND / seconds,
            unit = "core",
            target = Target.AtMost(StatedSize.CONTROL_CORE_SHARE)
        )
    )
}

private fun warmUp(seed: Long) {
    val system = SyntheticSystem(100)
    MemberFixture(system, busiest(system, system.entries), seed).run(WARM_UP)
}

private val WARM_UP = 600.minutes
private val MEASURED = 60.minutes
private const val NANOS_PER_MICRO = 1_000.0
private const val NANOS_PER_SECOND = 1e9
