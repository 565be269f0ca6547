package org.shallotplank.gateway

import io.netty.channel.EventLoopGroup
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.gateway.EntryLocation
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.observedRates
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.group.GroupKeepers
import org.shallotplank.gateway.group.KeeperCandidate
import org.shallotplank.gateway.group.KeeperContext
import org.shallotplank.gateway.group.LeaseGuard
import org.shallotplank.gateway.group.RankPort
import org.shallotplank.gateway.group.confirmedAt
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.peer.DelegatedHold
import org.shallotplank.gateway.peer.LeavingUpstream
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.PeerReports
import org.shallotplank.gateway.peer.PeerRow
import org.shallotplank.gateway.peer.PeerTables
import org.shallotplank.gateway.peer.PeerView
import org.shallotplank.gateway.peer.Peers
import org.shallotplank.gateway.peer.RowCopy
import org.shallotplank.gateway.peer.SeenLease
import org.shallotplank.gateway.peer.SharedCrashes
import org.shallotplank.gateway.peer.SlowRank
import org.shallotplank.gateway.peer.TableCopy
import org.shallotplank.gateway.peer.UpstreamInFlight
import org.shallotplank.gateway.peer.delegate
import org.shallotplank.gateway.peer.fetchTable
import org.shallotplank.gateway.peer.promptCrashTable
import org.shallotplank.gateway.peer.reportedVersions
import org.shallotplank.gateway.peer.revisionOf
import org.shallotplank.gateway.peer.sendDelegated
import org.shallotplank.gateway.peer.upstreamRateTable
import org.shallotplank.gateway.peer.workTable
import org.shallotplank.gateway.store.FollowSettings
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableFollower
import org.shallotplank.gateway.store.TableReplica

/**
 * The observed state of a gateway entry: copies of the store's tables and reports of other entries.
 *
 * Copies of tables come from the store, and from other entries while the store does not answer.
 * Also maintains the registration of the entry, its readiness and its group keepers.
 */
internal class ClusterView(
    private val settings: GatewayEntrySettings,
    private val schema: StoreSchema,
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val environment: GatewayEnvironment,
    private val exchanges: GatewayExchanges,
    private val log: (LogRecord) -> Unit
) {
    private val clock = environment.clock

    /** Time that writers of rows have to write them again after an outage of the store. */
    private val rewriteGrace = settings.toReducerSettings().reregistrationGrace
    private val upstreams = ObservedUpstreams(schema.readUpstream, rewriteGrace, log)
    private val peers = Peers(
        group = group,
        own = settings.peerAddress,
        scope = scope,
        clock = clock,
        livenessTimeout = PEER_TIMEOUT,
        log = log,
        onReport = ::onPeerReport
    )
    private val leaseGuard = LeaseGuard(
        areFencesChecked = settings.areFencesChecked,
        clock = clock,
        wallClock = environment.wallClock,
        confirmedAt = ::leaseConfirmedAt
    )
    private lateinit var followers: Map<String, TableFollower>
    private lateinit var registration: Registration
    private lateinit var keepers: GroupKeepers
    private lateinit var ranks: RankPort
    private var seeds = settings.seedAddresses.toSet()
    private var staleSince: Instant? = clock.now()
    private val crashes = SharedCrashes(clock) { exchanges.emit(GatewayEvent.CrashLearned(it)) }
    private val peerTables = PeerTables(
        listOf(
            promptCrashTable(
                clock = clock,
                quarantine = { exchanges.state.partQuarantine },
                onLearned = { exchanges.emit(GatewayEvent.PromptCrashesLearned(it)) },
                log = log
            ),
            upstreamRateTable(
                clock = clock,
                rates = { exchanges.state.observedRates },
                onLearned = { exchanges.emit(GatewayEvent.UpstreamRatesLearned(it)) },
                log = log
            ),
            workTable(settings.instanceId, clock, exchanges::workToReport, exchanges::emit, log)
        )
    )

    /** Locations of all registered entries, running or not. */
    private var entryLocations: List<EntryLocation> = emptyList()

    /** Time since the store last answered, for the metrics. */
    val storeAge: Duration
        get() = clock.now() - (followers.values.maxOfOrNull { it.answeredAt } ?: clock.now())

    /** Starts to poll the store and the other entries. */
    fun start(store: MetadataStore, ranks: RankPort) {
        val follows = listOf(
            FollowSettings(schema.operatorTable, wait = OPERATOR_WAIT),
            FollowSettings(
                schema.upstreamTable,
                wait = UPSTREAM_WAIT,
                minInterval = ::upstreamPollInterval
            ),
            FollowSettings(
                schema.entryTable,
                wait = entryWait(),
                minInterval = { ENTRY_POLL_INTERVAL }
            )
        )
        followers = follows.associate { follow ->
            follow.table to TableFollower(
                settings = follow,
                store = store,
                clock = clock,
                random = environment.random,
                log = log,
                onContact = { replica, isChanged -> onContact(follow.table, replica, isChanged) }
            )
        }
        val row = PeerRow(
            incarnation = environment.incarnation,
            peerAddress = settings.peerAddress.toString(),
            publicAddress = settings.listenAddress.toString(),
            zone = settings.zone.value
        )
        this.ranks = ranks
        keepers = GroupKeepers(keeperContext(), store, ranks, scope)
        registration = Registration(settings.instanceId.value, row, schema.entryTable, store)
        exchanges.onCrash = crashes::add
        followers.values.forEach { follower -> scope.launch { follower.run() } }
        scope.launch { registration.keep(::entryReplica) { !exchanges.state.isStopping } }
        peers.pollOnly(seeds)
    }

    /** Replaces the seed addresses, which are polled in addition to registered entries. */
    fun updateSeeds(changed: Set<Address>) {
        seeds = changed
        followPeers()
    }

    /** Marks the entry unready after a suspension of [length], until it reads its tables again. */
    fun onSuspension(length: Duration) {
        staleSince = clock.now()
        setReady(false, "paused for ${length.inWholeMilliseconds} ms")
    }

    /** Expires missing upstreams and crashes, updates readiness and advances the keepers. */
    fun tick(now: Instant) {
        if (upstreams.expire(now)) emitUpstreams()
        forgetLostRows(now)
        crashes.expire(now)
        updateReadiness(now)
        emitPeers()
        keepers.tick(now)
    }

    private fun forgetLostRows(now: Instant) {
        for ((table, follower) in followers) {
            val isGraceOver = now - follower.returnedAt >= rewriteGrace
            if (isGraceOver && follower.replica.forgetLostRows()) {
                onContact(table, follower.replica, isChanged = true)
            }
        }
    }

    private fun upstreamPollInterval(): Duration =
        (UPSTREAM_POLL_INTERVAL_PER_ENTRY * entryLocations.size).coerceIn(
            MIN_UPSTREAM_POLL_INTERVAL,
            MAX_UPSTREAM_POLL_INTERVAL
        )

    private fun entryWait(): Duration =
        if (settings.areFencesChecked) ENTRY_WAIT else LeaseGuard.MAX_POLL_WAIT

    private fun keeperContext() = KeeperContext(
        own = KeeperCandidate(settings.instanceId.value, environment.incarnation),
        candidates = ::keeperCandidates,
        state = exchanges::state,
        table = schema.entryTable,
        replica = ::entryReplica,
        hasRelinquished = ::hasRelinquished,
        guard = leaseGuard,
        delegateHold = ::delegateHold,
        clock = clock,
        log = log
    )

    private val leasesReadAt: Instant
        get() = followers.getValue(schema.entryTable).answeredAt

    private fun leaseConfirmedAt(group: String): Instant {
        val others = entryLocations.map { it.instance.value } - settings.instanceId.value
        val confirmations = reports.confirmations(group, others)
        return confirmedAt(keepers.knownTerms[group], leasesReadAt, confirmations)
    }

    /** True if the candidate reports it, or if a later incarnation of its instance is known. */
    private fun hasRelinquished(candidate: KeeperCandidate, group: String): Boolean {
        if (reports.hasLeft(candidate, group)) return true
        val registered = entryReplica().row(Registration.keyOf(candidate.instance))
            ?.let { decodeRow(it.value)?.incarnation }
        val own = environment.incarnation.takeIf {
            candidate.instance == settings.instanceId.value
        }
        return (reports.incarnationsOf(candidate.instance) + listOfNotNull(registered, own))
            .any { it > candidate.incarnation }
    }

    private fun keeperCandidates(): List<KeeperCandidate> {
        val own = KeeperCandidate(settings.instanceId.value, environment.incarnation)
        val isServing = exchanges.state.isReady && !exchanges.state.isStopping
        return listOfNotNull(own.takeIf { isServing }) + reports.serving
            .map { KeeperCandidate(it.instance, it.incarnation) }
    }

    private val reports: PeerReports get() = PeerReports(peers.alive)

    /** Addresses of the entries that serve callers; this entry comes first if it serves. */
    fun servingEntries(): List<Address> {
        val isServing = exchanges.state.isReady && !exchanges.state.isStopping
        val own = listOfNotNull(settings.listenAddress.takeIf { isServing })
        val others = reports.serving.mapNotNull { Address.parseOrNull(it.publicAddress) }
        return (own + others).distinct()
    }

    /** Deletes the row of this entry from the store. */
    suspend fun unregister(): Unit = registration.remove(entryReplica())

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
        val peer = reports.servingAddresses.randomOrNull(environment.random)
            ?: return OrderOutcome.NO_ANSWER
        return delegate(hold, peer, group)
    }

    /** The report that this entry sends to the others. */
    fun report(): PeerReport = PeerReport(
        instance = settings.instanceId.value,
        incarnation = environment.incarnation,
        publicAddress = settings.listenAddress.toString(),
        zone = settings.zone.value,
        isReady = exchanges.state.isReady,
        isStopping = exchanges.state.isStopping,
        tableVersions = peerTables.versions +
            reportedVersions(followers.mapValues { (_, follower) -> follower.replica.revision }),
        inFlight = exchanges.state.inFlight
            .map { (key, count) -> UpstreamInFlight(key.id.value, key.incarnation, count) },
        crashes = crashes.recent,
        leaving = exchanges.state.upstreams.values
            .filter { it.notice.isLeaving }
            .map { LeavingUpstream(it.record.id.value, it.record.incarnation) },
        groupsLeft = keepers.relinquishedGroups,
        slowRanks = keepers.slowRanks.map { (id, slowdown) -> SlowRank(id.value, slowdown) },
        leases = keepers.knownTerms.map { (group, term) -> SeenLease(group, term) },
        leasesAgeMillis = leasesReadAt.takeIf { leaseGuard.isAfterLastSuspension(it) }
            ?.let { (clock.now() - it).inWholeMilliseconds }
    )

    /** The copy of [table], or null before the first read. */
    fun tableCopy(table: String): TableCopy? {
        peerTables.copy(table)?.let { return it }
        val replica = followers[table]?.replica?.takeIf { it.isRead } ?: return null
        val rows = replica.rows.map { RowCopy(it.key, it.value, it.version) }
        return TableCopy(replica.revision.version, rows)
    }

    /** Rows of entries; the same table also holds those of group leases. */
    private fun entryRows(): List<StoreRow> = with(entryReplica()) { rows + lostRows }
        .filter { it.key.startsWith(Registration.KEY_PREFIX) }

    private fun entryReplica(): TableReplica = followers.getValue(schema.entryTable).replica

    private fun onContact(table: String, replica: TableReplica, isChanged: Boolean) {
        if (!isChanged) return
        when (table) {
            schema.operatorTable -> onOperatorRows(replica)
            schema.upstreamTable -> {
                upstreams.update(replica, followers.getValue(table).returnedAt, clock.now())
                emitUpstreams()
            }
            schema.entryTable -> followPeers()
        }
    }

    private fun onOperatorRows(replica: TableReplica) {
        val rows = schema.readOperatorRows(replica.rows + replica.lostRows)
        rows.findings.forEach { finding ->
            log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to "operator", "detail" to finding))
        }
        exchanges.emit(GatewayEvent.EvacuationsChanged(rows.outOfService))
        rows.routes?.let { exchanges.emit(GatewayEvent.RoutesAccepted(it)) }
    }

    private fun emitUpstreams(): Unit =
        exchanges.emit(GatewayEvent.UpstreamsListed(upstreams.listed()))

    private fun followPeers() {
        val registered = entryRows().associate { row ->
            InstanceId(row.key.removePrefix(Registration.KEY_PREFIX)) to decodeRow(row.value)
        }
        // An entry whose row cannot be decoded may be running, so it counts as registered.
        entryLocations = registered.map { (instance, row) ->
            EntryLocation(instance, ZoneName(row?.zone.orEmpty()))
        }
        val addresses = registered.values
            .mapNotNull { row -> row?.peerAddress?.let(Address::parseOrNull) }
        peers.pollOnly(addresses.toSet() + seeds)
    }

    private fun emitPeers() {
        val reports = reports
        val own = EntryLocation(settings.instanceId, settings.zone)
        val reported = reports.all.map { EntryLocation(InstanceId(it.instance), ZoneName(it.zone)) }
        val entries = (entryLocations + reported + own).distinctBy { it.instance }
        exchanges.emit(
            GatewayEvent.PeersReported(
                entryCount = entries.size,
                inFlight = reports.inFlight,
                entries = entries.toPersistentSet(),
                serving = reports.serving.map { InstanceId(it.instance) }.toPersistentSet(),
                leaving = reports.leaving,
                slowdowns = reports.slowdowns.putAll(keepers.slowRanks)
            )
        )
    }

    private suspend fun onPeerReport(view: PeerView, client: HttpClient) {
        val report = view.report ?: return
        report.crashes.forEach(crashes::learn)
        peerTables.follow(view, client)
        for ((table, follower) in followers) {
            val offered = report.revisionOf(table) ?: continue
            val isAnswered = clock.now() - follower.answeredAt < STORE_STALENESS_BOUND
            if (!isAnswered && offered > follower.replica.revision) {
                adopt(follower, table, offered.era, report.instance, client)
            }
        }
    }

    private suspend fun adopt(
        follower: TableFollower,
        table: String,
        era: Long,
        source: String,
        client: HttpClient
    ) {
        val copy = fetchTable(client, table, TABLE_TIMEOUT) ?: return
        // If the source has reached a later era meanwhile, the rows are newer than they seem.
        val contents = TableContents(copy.storeRows(), StoreRevision(era, copy.version))
        follower.adopt(contents, source)
    }

    private fun updateReadiness(now: Instant) {
        val since = staleSince ?: return
        val isComplete = followers.values.all { it.replica.isRead }
        val isFresh = followers.values.all { it.answeredAt > since }
        val isWaitOver = now - since > REFRESH_TIMEOUT
        if (!isComplete || exchanges.state.routes == null) return
        if (isFresh || isWaitOver) {
            staleSince = null
            setReady(true, if (isFresh) "store was read" else "store gave no answer in time")
        }
    }

    private fun setReady(isReady: Boolean, because: String) {
        if (exchanges.state.isReady == isReady) return
        log(logRecord(LogEvent.GATEWAY_READINESS, "ready" to isReady, "because" to because))
        exchanges.emit(GatewayEvent.ReadinessChanged(isReady))
    }

    private fun decodeRow(value: String): PeerRow? = try {
        Json.decodeFromString<PeerRow>(value)
    } catch (e: SerializationException) {
        log(logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to "entry", "detail" to e.message))
        null
    }

    private companion object {
        /**
         * Maximum wait of a call for changes.
         *
         * A change has to be in force within 2 s, or within 5 s if the connection was silent; the
         * client closes a connection without an answer soon after this wait.
         */
        val OPERATOR_WAIT = 1_600.milliseconds
        val UPSTREAM_WAIT = 1_600.milliseconds
        val MIN_UPSTREAM_POLL_INTERVAL = 300.milliseconds

        /** Limits the total call rate of the entries for a table that changes continuously. */
        val UPSTREAM_POLL_INTERVAL_PER_ENTRY = 45.milliseconds

        /** Half of the 2 s after which a leaving upstream must get no further requests. */
        val MAX_UPSTREAM_POLL_INTERVAL = 1.seconds
        val ENTRY_WAIT = 4_000.milliseconds
        val ENTRY_POLL_INTERVAL = 500.milliseconds

        /** Covers several reports of an entry; see [Peers]. */
        val PEER_TIMEOUT = 2.seconds

        /** Age of the last store contact above which newer tables are fetched from peers. */
        val STORE_STALENESS_BOUND = 2_000.milliseconds

        val TABLE_TIMEOUT = 1.seconds

        /** Time after which an entry serves with its current copies if the store is silent. */
        val REFRESH_TIMEOUT = 2.seconds
    }
}
