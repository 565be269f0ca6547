package org.shallotplank.gateway.group

import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.shallotplank.core.InstanceId
import org.shallotplank.core.expertmap.GroupKeeper
import org.shallotplank.core.expertmap.GroupKeeperSettings
import org.shallotplank.core.expertmap.KeeperStage
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.gateway.GatewayState
import org.shallotplank.core.gateway.GatewayUpstream
import org.shallotplank.core.gateway.PlacementProfile
import org.shallotplank.core.gateway.StreamPauses
import org.shallotplank.core.gateway.recentPauses
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.peer.DelegatedHold
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableReplica

/** What [GroupKeepers] needs from the entry that it runs in. */
internal class KeeperContext(
    val own: KeeperCandidate,
    /** Returns the entries that serve now, including this one if it does. */
    val candidates: () -> Collection<KeeperCandidate>,
    val state: () -> GatewayState,
    val table: String,
    val replica: () -> TableReplica,
    /** Start of the last call to the store whose answer is part of [replica]. */
    val replicaReadAt: () -> Instant,
    /** Reports of a group's lease by the other registered entries, null without a live report. */
    val confirmations: (group: String) -> List<LeaseConfirmation?>,
    /** Whether the candidate reports that it has kept the group and never will again. */
    val hasLeft: (KeeperCandidate, group: String) -> Boolean,
    /** Whether a later incarnation of the candidate's instance is known. */
    val hasRestarted: (KeeperCandidate) -> Boolean,
    val guard: LeaseGuard,
    /** Has another entry send a hold; returns the outcome that it reports. */
    val delegateHold: suspend (DelegatedHold) -> OrderOutcome,
    val clock: Clock,
    val log: (LogRecord) -> Unit
)

/**
 * Runs the keepers of the rank groups that this entry keeps as lease holder or as deputy.
 *
 * The lease of a group is a row of the store. While its holder does not serve, the first serving
 * deputy keeps the group, and takes over the lease as soon as it can write to the store. If two
 * entries both issue orders for a group, its ranks refuse those with the lower fencing number.
 * Where ranks do not check fencing numbers, there are no deputies, and [LeaseGuard] keeps two lease
 * holders from issuing orders at the same time.
 *
 * A lease ends with the era of the store in which it was claimed: if the store is restored from a
 * copy, later holders than the one in the copy may exist.
 */
internal class GroupKeepers(
    private val context: KeeperContext,
    private val store: MetadataStore,
    private val port: RankPort,
    private val scope: CoroutineScope
) {
    private val running = HashMap<String, RunningKeeper>()

    /** When this process last stopped keeping each group. */
    private val endedAt = HashMap<String, Instant>()
    private val claimedAt = HashMap<String, Instant>()

    /** The last version that ended keepers of each group have used, also in the same term. */
    private val lastVersions = HashMap<String, Long>()
    private val observedLeases = HashMap<String, ObservedLease>()
    private val decodedRows = HashMap<String, DecodedRow>()
    private var checkedAt: Instant = Instant.DISTANT_PAST

    /** Entries that served at the last check. */
    private var serving: Collection<KeeperCandidate> = emptyList()

    /**
     * Terms of the leases in the replica, by group.
     *
     * Read now rather than at the last check, since they are reported with the replica's age.
     */
    val knownTerms: Map<String, Long>
        get() = observedLeases.keys.mapNotNull { name -> lease(name)?.let { name to it.term } }
            .toMap()

    /**
     * Groups that this process has kept and will not keep again, because it is stopping.
     *
     * A group appears only after [MAX_ORDER_TIME], when no order for it is in flight. A group whose
     * lease this entry has claimed since but which it has not begun to keep again is not included,
     * since the previous holder may still issue orders for it.
     */
    val relinquishedGroups: List<String>
        get() {
            if (!context.state().isStopping) return emptyList()
            val before = context.clock.now() - MAX_ORDER_TIME
            return endedAt.filter { (name, at) -> name !in running && at <= before }.keys.toList()
        }

    /** Slowdown of the slow ranks of the groups that this entry keeps. */
    val slowRanks: Map<InstanceId, Double>
        get() = running.values.flatMap { keeper ->
            keeper.state.slowRanks.mapNotNull { (rank, slowdown) ->
                keeper.ranks[rank]?.let { it.id to slowdown }
            }
        }.toMap()

    /** Advances the keepers; at intervals also compares them with the leases and upstreams. */
    fun tick(now: Instant) {
        running.values.forEach { it.tick(now, pausesOf(it, now)) }
        if (now - checkedAt < CHECK_INTERVAL) return
        checkedAt = now
        val groups = knownGroups()
        serving = context.candidates()
        // A change in progress continues while a rank is missing from the list of upstreams.
        (running.keys - groups.keys).forEach(::retire)
        groups.forEach { (name, group) -> check(name, group, now) }
        port.keepOnly(running.values.flatMap { it.ranks.values }.toSet())
    }

    private fun pausesOf(keeper: RunningKeeper, now: Instant): StreamPauses? {
        val state = context.state()
        val member = keeper.ranks.values.firstOrNull()?.id
        val service = state.upstreams.values.find { it.record.id == member }?.record?.service
        return service?.let { state.recentPauses(it, now) }
    }

    private fun check(name: String, group: KnownGroup, now: Instant) {
        val lease = lease(name)
        observedLease(name).record(
            lease = lease,
            era = context.replica().revision.era,
            isEnded = lease == null && storedLease(name) != null,
            now = now
        )
        val fence = lease?.fenceOf(context.own, serving)
        val keeper = running[name]
        if (lease == null || fence == null) {
            retire(name)
            val isServed = lease?.isServed(serving) == true
            if (!isServed && context.own == preferred(name) && mayClaimFrom(lease, name, now)) {
                claim(name, lease, now)
            }
            return
        }
        when {
            keeper?.leaseFence == fence && keeper.state.isFenced ->
                claim(name, lease, now)
            !mayKeep(name) -> stopNow(name)
            context.own in serving -> {
                startOrUpdate(name, group, fence)
                renew(name, lease, now)
            }
            else -> retire(name)
        }
    }

    /** The lease of the group [name] in the present era of the store, null if there is none. */
    private fun lease(name: String): GroupLease? = storedLease(name)
        ?.takeIf { it.isOfEra(context.replica().revision.era) }
        ?.let(::withAllowedDeputies)

    private fun storedLease(name: String): GroupLease? {
        val row = context.replica().row(KEY_PREFIX + name) ?: return null
        val known = decodedRows[name]?.takeIf { it.row == row }
        val decoded = known ?: DecodedRow(row, decode(row.value)).also { decodedRows[name] = it }
        return decoded.lease
    }

    /**
     * Whether this entry may issue orders as the holder of the lease of [term].
     *
     * A read of the row of another holder or term confirms nothing, nor do reports of it.
     */
    private fun mayIssueOrders(name: String, term: Long): Boolean = context.guard.mayIssueOrders {
        val observed = observedLease(name)
        lease(name)?.takeIf { it.isHeldBy(context.own) }
            ?.let { observed.confirm(it, context.replicaReadAt()) }
        confirmedAt(term, observed.confirmedAt(term), context.confirmations(name))
    }

    /**
     * Removes the deputies other than the holder from [lease] where ranks do not check fences.
     *
     * Such ranks cannot distinguish the orders of a deputy from those of the lease holder.
     */
    private fun withAllowedDeputies(lease: GroupLease): GroupLease {
        if (context.guard.areFencesChecked) return lease
        return if (lease.isEstablished) lease.established() else lease.copy(deputies = emptyList())
    }

    private fun observedLease(name: String): ObservedLease =
        observedLeases.getOrPut(name) { ObservedLease(context.own) }

    private fun mayKeep(name: String): Boolean {
        val heldLease = observedLease(name).held ?: return context.guard.areFencesChecked
        if (!mayIssueOrders(name, heldLease.term)) return false
        if (!heldLease.isTakeoverAllowed) {
            heldLease.isTakeoverAllowed = context.guard.mayTakeOver(
                firstSeenAt = heldLease.firstSeenAt,
                isPreviousHolderGone = heldLease.isPreviousKnown && isPreviousGone(name, heldLease)
            )
        }
        return heldLease.isTakeoverAllowed
    }

    /**
     * Whether neither the previous holder nor any before it issues orders.
     *
     * A holder that reports that it has left had begun to keep the group, after all holders before
     * it. One that has restarted may not have: a holder before it may then still issue orders.
     */
    private fun isPreviousGone(name: String, heldLease: HeldLease): Boolean {
        val previous = heldLease.previous ?: return true
        if (context.hasLeft(previous.leaseHolder, name)) return true
        val hadBegun = previous.isEstablished ||
            context.guard.hasTakeoverDelayPassed(heldLease.previousSeenAt)
        return hadBegun && context.hasRestarted(previous.leaseHolder)
    }

    /** Stops keeping the group, even during a change: another entry may already keep it. */
    private fun stopNow(name: String) {
        val keeper = running.remove(name) ?: return
        end(name, keeper)
        endedAt[name] = context.clock.now()
        logKeeperChange(name, keeper.leaseFence, isKept = false)
    }

    /**
     * Stops keeping the group once it cannot be held by a change of this keeper; no other change is
     * begun.
     *
     * Such a change is completed, unless a rank refuses its orders because it has already received
     * a higher fencing number, or the time in which the lease allows orders is over.
     */
    private fun retire(name: String) {
        val keeper = running[name] ?: return
        keeper.allowPlanning(false)
        if (!keeper.isHolding || !mayIssueOrders(name, keeper.term)) stopNow(name)
    }

    private fun end(name: String, keeper: RunningKeeper) {
        keeper.end()
        lastVersions[name] = keeper.state.lastVersion
    }

    private fun logKeeperChange(name: String, fence: Long, isKept: Boolean) = context.log(
        logRecord(
            LogEvent.GROUP_KEEPING,
            "group" to name,
            "keeps" to isKept,
            "fence" to fence,
            "serving" to serving.joinToString(",") { it.instance }
        )
    )

    /**
     * Updates the lease row to match the entries that serve.
     *
     * The lease holder updates the list of deputies; where ranks check no fences, it shows that it
     * has begun. A deputy that keeps the group in place of the holder claims the lease once no
     * change is in progress.
     */
    private fun renew(name: String, lease: GroupLease, now: Instant) {
        val areFencesChecked = context.guard.areFencesChecked
        val last = claimedAt[name]
        val interval = if (areFencesChecked) RENEWAL_INTERVAL else CLAIM_INTERVAL
        if (last != null && now - last < interval) return
        if (!lease.isHeldBy(context.own)) {
            if (running[name]?.isSettled == true) claim(name, lease, now)
            return
        }
        val next = if (areFencesChecked) lease.withDeputies(serving) else lease.established()
        if (next != lease) write(name, lease, next, now)
    }

    /** Returns the entry that claims a free lease; the hash spreads groups over the entries. */
    private fun preferred(name: String): KeeperCandidate? =
        serving.minByOrNull { "$name ${it.instance}".hashCode() }

    /**
     * Whether this entry may claim the lease from its holder, which does not seem to serve.
     *
     * An entry that has just started may not have received the report of a serving holder yet.
     */
    private fun mayClaimFrom(lease: GroupLease?, name: String, now: Instant): Boolean =
        lease == null ||
            now - context.state().readySince >= PEER_DISCOVERY_TIME ||
            context.hasLeft(lease.leaseHolder, name) ||
            context.hasRestarted(lease.leaseHolder)

    private fun claim(name: String, lease: GroupLease?, now: Instant) {
        val last = claimedAt[name]
        if (last != null && now - last < CLAIM_INTERVAL) return
        // The previous holder may still issue orders when this entry stops before it has begun.
        endedAt -= name
        val highestTerm = maxOf(
            lease?.term ?: 0,
            observedLease(name).highestTerm,
            GroupLease.lastTermBefore(context.replica().revision.era)
        )
        val next = GroupLease(context.own.instance, context.own.incarnation, highestTerm + 1)
            .withDeputies(serving)
            .let(::withAllowedDeputies)
        write(name, lease, next, now)
    }

    private fun write(name: String, before: GroupLease?, next: GroupLease, now: Instant) {
        claimedAt[name] = now
        val key = KEY_PREFIX + name
        val expected = context.replica().revisionOf(key)
        context.log(
            logRecord(
                LogEvent.GROUP_LEASE,
                "group" to name,
                "before" to before,
                "claimed" to next,
                "expected_version" to expected
            )
        )
        scope.launch {
            store.write(context.table, key, Json.encodeToString(next), expected)
        }
    }

    private fun startOrUpdate(name: String, group: KnownGroup, fence: Long) {
        val current = running[name]
        if (current != null && current.state.ranks == group.ranks.size) {
            current.ranks = group.ranks
            current.allowPlanning(true)
            if (current.leaseFence == fence) return
            if (current.continueUnder(fence)) return logKeeperChange(name, fence, isKept = true)
        }
        logKeeperChange(name, fence, isKept = true)
        current?.let { end(name, it) }
        val keeper = GroupKeeper(
            group = name,
            fence = fence,
            ranks = group.ranks.size,
            placement = group.placement,
            settings = settingsFor(group),
            stage = KeeperStage.Surveying(context.clock.now()),
            lastVersion = lastVersions[name] ?: 0
        )
        running[name] =
            RunningKeeper(
                initial = keeper,
                ranks = group.ranks,
                port = port,
                scope = scope,
                clock = context.clock,
                mayIssueOrders = { term -> mayIssueOrders(name, term) },
                delegateHold = context.delegateHold,
                log = context.log
            )
    }

    private fun settingsFor(group: KnownGroup) = GroupKeeperSettings(
        sampledRanks = group.ranks.size.coerceAtMost(MAX_SAMPLES),
        countInterval = COUNT_INTERVAL,
        popularityHalfLife = POPULARITY_HALF_LIFE,
        maxLoadsPerRank = loadsWithin(COPY_TIME, group.placement),
        minGain = MIN_GAIN,
        areFencesChecked = context.guard.areFencesChecked
    )

    private fun knownGroups(): Map<String, KnownGroup> {
        val state = context.state()
        val members = state.upstreams.values.filter {
            it.record.group != null && it.isListed && it.missingSince == null
        }
        return members.groupBy { it.record.group?.name.orEmpty() }
            .mapNotNull { (name, group) -> knownGroup(group, state)?.let { name to it } }
            .toMap()
    }

    /** Returns the group of [members], null unless each of its ranks is listed exactly once. */
    private fun knownGroup(members: List<GatewayUpstream>, state: GatewayState): KnownGroup? {
        val service = state.routes?.services?.get(members.first().record.service)
        val placement = service?.engine?.placement ?: return null
        val size = members.first().record.group?.size ?: return null
        val ranks = members.associate { member ->
            (member.record.group?.rank ?: 0) to RankAddress(member.record.id, member.record.address)
        }
        val isComplete = members.size == size && ranks.size == size
        return if (isComplete) KnownGroup(ranks, placement) else null
    }

    private fun decode(value: String): GroupLease? = try {
        Json.decodeFromString<GroupLease>(value)
    } catch (e: SerializationException) {
        context.log(
            logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to "group", "detail" to e.message)
        )
        null
    }

    /** A row of the replica and the lease in it, null if it cannot be read. */
    private class DecodedRow(val row: StoreRow, val lease: GroupLease?)

    private class KnownGroup(val ranks: Map<Int, RankAddress>, val placement: PlacementProfile)

    internal companion object {
        /** Prefix of the keys of lease rows in the entries' table. */
        const val KEY_PREFIX = "group/"
        private val CHECK_INTERVAL = 200.milliseconds

        /** Covers a report request that times out after 800 ms and the retry soon after it. */
        private val PEER_DISCOVERY_TIME = 1_500.milliseconds

        /** An order is answered or abandoned within 320 ms. */
        private val MAX_ORDER_TIME = 400.milliseconds

        /** Lets a claim appear in the table copy first, since each call to the store is billed. */
        private val CLAIM_INTERVAL = 1.seconds

        /** The row may lag behind the serving entries, since the group has a keeper meanwhile. */
        private val RENEWAL_INTERVAL = 3.seconds

        /** Requests are spread at random, so this many ranks represent the whole group. */
        private const val MAX_SAMPLES = 16

        /** Short, since the popularity of experts may change within a few seconds. */
        private val COUNT_INTERVAL = 150.milliseconds
        private val POPULARITY_HALF_LIFE = 400.milliseconds
        private const val MIN_GAIN = 0.05

        /** Number of experts that a rank copies within [time], one after the other. */
        private fun loadsWithin(time: Duration, placement: PlacementProfile): Int =
            (time / placement.expertCopyTime.coerceAtLeast(1.milliseconds)).toInt()
                .coerceIn(1, MAX_LOADS_PER_RANK)

        /**
         * Limit on the time that a rank copies experts for one change.
         *
         * Demand may jump again within seconds. If one change does not suffice, another follows.
         */
        private val COPY_TIME = 200.milliseconds

        /** Bounds the planning time for groups of many ranks; see docs/MEASUREMENTS.md. */
        private const val MAX_LOADS_PER_RANK = 8
    }
}
