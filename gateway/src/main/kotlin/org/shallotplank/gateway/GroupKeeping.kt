package org.shallotplank.gateway

import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.InstanceId
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.group.GroupKeepers
import org.shallotplank.gateway.group.KeeperCandidate
import org.shallotplank.gateway.group.KeeperContext
import org.shallotplank.gateway.group.LeaseConfirmation
import org.shallotplank.gateway.group.LeaseGuard
import org.shallotplank.gateway.group.RankPort
import org.shallotplank.gateway.http.HttpClients
import org.shallotplank.gateway.peer.DelegatedHold
import org.shallotplank.gateway.peer.PeerReports
import org.shallotplank.gateway.peer.SeenLease
import org.shallotplank.gateway.peer.SlowRank
import org.shallotplank.gateway.peer.delegate
import org.shallotplank.gateway.peer.sendDelegated
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.TableFollower

/**
 * The group keepers of an entry, with what they need to know of other entries.
 *
 * @param entryTable the follower of the table of entries and leases.
 * @param instances the instances of all registered entries.
 * @param registeredIncarnation the incarnation in the row of an instance, null without a row.
 */
internal class GroupKeeping(
    private val settings: GatewayEntrySettings,
    private val schema: StoreSchema,
    private val environment: GatewayEnvironment,
    private val clients: HttpClients,
    private val scope: CoroutineScope,
    private val exchanges: GatewayExchanges,
    private val reports: () -> PeerReports,
    private val entryTable: () -> TableFollower,
    private val instances: () -> List<InstanceId>,
    private val registeredIncarnation: (instance: String) -> Long?,
    private val log: (LogRecord) -> Unit
) {
    private val own = KeeperCandidate(settings.instanceId.value, environment.incarnation)
    private val guard = LeaseGuard(
        areFencesChecked = settings.areFencesChecked,
        clock = environment.clock,
        wallClock = environment.wallClock
    )
    private lateinit var keepers: GroupKeepers
    private lateinit var ranks: RankPort

    /** Rank groups that this entry has kept and will not keep again. */
    val relinquishedGroups: List<String> get() = keepers.relinquishedGroups

    /** Slowdowns of the ranks of the groups that this entry keeps. */
    val slowRanks: Map<InstanceId, Double> get() = keepers.slowRanks

    /** [slowRanks] as reports carry them. */
    val reportedSlowRanks: List<SlowRank>
        get() = slowRanks.map { (id, slowdown) -> SlowRank(id.value, slowdown) }

    /** The last observed terms of leases as reports carry them. */
    val reportedLeases: List<SeenLease>
        get() = keepers.knownTerms.map { (group, term) -> SeenLease(group, term) }

    /** Time since the leases were last read from the store, null if unknown. */
    val leasesAgeMillis: Long?
        get() = entryTable().answeredAt.takeIf(::isAfterLastSuspension)
            ?.let { (environment.clock.now() - it).inWholeMilliseconds }

    /** Starts to keep groups, with leases in [store]. */
    fun start(store: MetadataStore, ranks: RankPort) {
        this.ranks = ranks
        keepers = GroupKeepers(keeperContext(), store, ranks, scope)
    }

    /** Advances the keepers. */
    fun tick(now: Instant): Unit = keepers.tick(now)

    /** Whether [instant] is after the last suspension, so that the clock has run since then. */
    fun isAfterLastSuspension(instant: Instant): Boolean = guard.isAfterLastSuspension(instant)

    /** Sends the hold in [body] for another entry's keeper; [reply] gets null for a wrong body. */
    fun sendDelegatedHold(body: ByteArray, reply: (ByteArray?) -> Unit) {
        scope.launch {
            val outcome = sendDelegated(body, ranks)
            if (outcome == null) {
                log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to "delegated hold"))
            }
            reply(outcome)
        }
    }

    /**
     * Has one of the other serving entries send [hold].
     *
     * Only where ranks check fences, since that entry may be suspended and send the hold when the
     * group already has another keeper.
     */
    private suspend fun delegateHold(hold: DelegatedHold): OrderOutcome {
        if (!settings.areFencesChecked) return OrderOutcome.NO_ANSWER
        val peer = reports().servingAddresses.randomOrNull(environment.random)
            ?: return OrderOutcome.NO_ANSWER
        return delegate(hold, peer, clients)
    }

    private fun keeperContext() = KeeperContext(
        own = own,
        candidates = ::candidates,
        state = exchanges::state,
        table = schema.entryTable,
        replica = { entryTable().replica },
        replicaReadAt = { entryTable().answeredAt },
        confirmations = ::confirmations,
        hasLeft = { candidate, group -> reports().hasLeft(candidate, group) },
        hasRestarted = ::hasRestarted,
        guard = guard,
        delegateHold = ::delegateHold,
        clock = environment.clock,
        log = log
    )

    private fun confirmations(group: String): List<LeaseConfirmation?> {
        val others = instances().map { it.value } - own.instance
        return reports().confirmations(group, others)
    }

    private fun hasRestarted(candidate: KeeperCandidate): Boolean {
        val known = reports().incarnationsOf(candidate.instance) + listOfNotNull(
            registeredIncarnation(candidate.instance),
            own.incarnation.takeIf { candidate.instance == own.instance }
        )
        return known.any { it > candidate.incarnation }
    }

    private fun candidates(): List<KeeperCandidate> {
        val isServing = exchanges.state.isReady && !exchanges.state.isStopping
        return listOfNotNull(own.takeIf { isServing }) + reports().serving
            .map { KeeperCandidate(it.instance, it.incarnation) }
    }
}
