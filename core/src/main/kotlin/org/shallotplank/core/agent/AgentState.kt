package org.shallotplank.core.agent

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.shallotplank.core.AttemptId
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.admission.AdmissionQueue
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.SerializableList
import org.shallotplank.core.config.Service
import org.shallotplank.core.config.ServiceLimits
import org.shallotplank.core.execution.Execution
import org.shallotplank.core.limit.UpstreamLimit
import org.shallotplank.core.limit.Warmth

/** Identifies one connection of an entry to an agent; not reused within an agent process. */
@JvmInline
public value class ConnectionId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Identity of an agent and the settings that do not change while it runs. */
public data class AgentIdentity(
    val instance: InstanceId,
    val service: ServiceName,
    val zone: ZoneName,
    val drainTimeout: Duration,
    /** Chosen at random when the process starts. */
    val incarnation: Long = 0
)

/** State of the agent of one upstream. */
public data class AgentState(
    val self: AgentIdentity,
    /** The configuration in force, or null until the process has received one. */
    val configuration: Configuration? = null,
    /** Whether the configuration is known to be the latest that was accepted. */
    val isReady: Boolean = false,
    val limit: UpstreamLimit = UpstreamLimit(ServiceLimits()),
    val queue: AdmissionQueue = AdmissionQueue(limit.concurrency, limit.limits.maxQueued),
    /** Attempts that are waiting or running. */
    val attempts: PersistentMap<AttemptId, AgentAttempt> = persistentMapOf(),
    /** At-most-once protocols that have not ended. A protocol may outlive its attempt. */
    val executions: PersistentMap<AttemptId, Execution> = persistentMapOf(),
    /** When each recent offer arrived. A late copy of an offer is ignored, not run again. */
    val seen: PersistentMap<AttemptId, Instant> = persistentMapOf(),
    /** When the process was asked to stop, or null if it was not. */
    val drainingSince: Instant? = null,
    val upstreamReachable: Boolean = true,
    val step: Duration = 0.milliseconds,
    val cachedPrefixes: SerializableList<String> = persistentListOf()
) {
    /** The service of the upstream in the configuration in force, or null if it has none. */
    public val service: Service? get() = configuration?.service(self.service)

    /** Number of admitted attempts that have not ended. */
    public val runningCount: Int get() = queue.runningCount

    /** Whether draining is complete or has reached the drain timeout, so the process can exit. */
    internal fun isDrained(now: Instant): Boolean {
        val since = drainingSince ?: return false
        val isIdle = attempts.isEmpty() && executions.isEmpty()
        return isIdle || now - since >= self.drainTimeout
    }

    /** Returns the report on the upstream for entries and operators. */
    public fun report(): AgentReport = AgentReport(
        instance = self.instance,
        service = self.service,
        zone = self.zone,
        state = upstreamState(),
        concurrency = limit.concurrency,
        running = queue.runningCount,
        queued = queue.waitingCount,
        stepMicros = step.inWholeMicroseconds,
        cachedPrefixes = cachedPrefixes,
        configurationVersion = configuration?.version ?: ConfigurationVersion.None
    )

    private fun upstreamState(): UpstreamState = when {
        drainingSince != null -> UpstreamState.DRAINING
        configuration?.isInService(self.zone) != true -> UpstreamState.DRAINING
        !upstreamReachable -> UpstreamState.GONE
        limit.warmth == Warmth.COLD -> UpstreamState.COLD
        limit.warmth == Warmth.WARMING -> UpstreamState.WARMING
        else -> UpstreamState.READY
    }
}
