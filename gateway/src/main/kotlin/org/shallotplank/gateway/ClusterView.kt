package org.shallotplank.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.EntryLocation
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.observedRates
import org.shallotplank.core.gateway.waitingRequests
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.core.quarantine.CrashRecord
import org.shallotplank.gateway.group.RankPort
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.http.HttpClients
import org.shallotplank.gateway.peer.EntryExchange
import org.shallotplank.gateway.peer.ExchangeContext
import org.shallotplank.gateway.peer.LeavingUpstream
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.PeerReports
import org.shallotplank.gateway.peer.PeerRow
import org.shallotplank.gateway.peer.PeerTables
import org.shallotplank.gateway.peer.PeerView
import org.shallotplank.gateway.peer.Peers
import org.shallotplank.gateway.peer.SharedCrashes
import org.shallotplank.gateway.peer.TableCopy
import org.shallotplank.gateway.peer.UpstreamInFlight
import org.shallotplank.gateway.peer.fetchTable
import org.shallotplank.gateway.peer.promptCrashTable
import org.shallotplank.gateway.peer.upstreamRateTable
import org.shallotplank.gateway.peer.waitingTable
import org.shallotplank.gateway.peer.workTable
import org.shallotplank.gateway.retention.RetainedNotices
import org.shallotplank.gateway.retention.RetainedPromptCrashes
import org.shallotplank.gateway.retention.RetainedRequests
import org.shallotplank.gateway.retention.RetainedState
import org.shallotplank.gateway.retention.StateRetention
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreContact
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableReplica
import org.shallotplank.gateway.where.EntryContact
import org.shallotplank.gateway.where.Observations

/**
 * The observed state of a gateway entry: copies of the store's tables and reports of other entries.
 *
 * Copies of tables come from the store, and from other entries while the store does not answer.
 * Also maintains the registration of the entry, its readiness and its group keepers.
 */
internal class ClusterView(
    private val settings: GatewayEntrySettings,
    private val schema: StoreSchema,
    private val clients: HttpClients,
    private val scope: CoroutineScope,
    private val environment: GatewayEnvironment,
    private val exchanges: GatewayExchanges,
    private val log: (LogRecord) -> Unit,
    private val countPeerCall: (path: String) -> Unit = {}
) {
    private val clock = environment.clock

    /** Time that writers of rows have to write them again after an outage of the store. */
    private val rewriteGrace = settings.toReducerSettings().reregistrationGrace
    private val upstreams = ObservedUpstreams(schema.readUpstream, rewriteGrace, log)
    private val peers = Peers(
        clients = clients,
        own = settings.peerAddress,
        scope = scope,
        clock = clock,
        livenessTimeout = Peers.LIVENESS_TIMEOUT,
        log = log,
        countCall = countPeerCall,
        onReport = ::onPolled
    )
    private val keeping: GroupKeeping = GroupKeeping(
        settings = settings,
        schema = schema,
        environment = environment,
        clients = clients,
        scope = scope,
        exchanges = exchanges,
        reports = ::reports,
        entryTable = { tables[schema.entryTable] },
        instances = { entryLocations.map { it.instance } },
        registeredIncarnation = ::registeredIncarnation,
        log = log
    )
    private val tables: StoreTables = StoreTables(
        settings = settings,
        schema = schema,
        clock = clock,
        random = environment.random,
        contact = StoreContact(clock, rewriteGrace),
        isHub = ::isHub,
        entryCount = { entryLocations.size },
        isAfterLastSuspension = keeping::isAfterLastSuspension,
        fetch = ::fetch,
        onContact = ::onContact,
        log = log
    )
    private lateinit var registration: Registration
    private lateinit var retention: StateRetention
    private var cleanedAt: Instant = clock.now()
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
            waitingTable(
                own = settings.instanceId,
                clock = clock,
                waiting = { exchanges.state.waitingRequests },
                onLearned = exchanges::emit,
                log = log
            ),
            workTable(settings.instanceId, clock, exchanges::workToReport, exchanges::emit, log)
        ),
        clock
    )

    private val exchange = EntryExchange(
        context = ExchangeContext(
            clients = clients,
            scope = scope,
            clock = clock,
            random = environment.random,
            own = EntryLocation(settings.instanceId, settings.zone),
            ownAddress = settings.peerAddress,
            incarnation = environment.incarnation,
            maxPollingEntries = settings.maxPollingEntries,
            isAfterLastSuspension = keeping::isAfterLastSuspension,
            report = ::report,
            log = log,
            countCall = countPeerCall,
            suppliedTables = tables::supplied,
            onSupplied = tables::onSupplied
        ),
        peers = peers,
        tables = peerTables,
        onReport = ::onReport,
        follow = ::follow
    )

    /** Whether this entry passes reports on to others. */
    val isHub: Boolean get() = exchange.isHub

    /** Age of the oldest report of an entry that counts as alive, for the metrics. */
    val oldestReportAge: Duration
        get() = peers.alive.minOfOrNull { it.lastContactAt }?.let { clock.now() - it }
            ?: Duration.ZERO

    /** When this entry last observed the store's tables and the entries that count as alive. */
    fun observations(): Observations = Observations(
        tables = tables.contacts,
        entries = peers.alive.mapNotNull { view ->
            view.report?.let { EntryContact(InstanceId(it.instance), view.lastContactAt) }
        }
    )

    /** Locations of all registered entries, running or not. */
    private var entryLocations: List<EntryLocation> = emptyList()

    /** Time since the store last answered, for the metrics. */
    val storeAge: Duration
        get() = clock.now() - (tables.answeredAt ?: clock.now())

    /** Starts to poll the store and the other entries. */
    fun start(store: MetadataStore, ranks: RankPort) {
        val row = PeerRow(
            incarnation = environment.incarnation,
            peerAddress = settings.peerAddress.toString(),
            publicAddress = settings.listenAddress.toString(),
            zone = settings.zone.value
        )
        keeping.start(store, ranks)
        registration = Registration(settings.instanceId.value, row, schema.entryTable, store)
        startRetention(store)
        tables.start(store, scope)
        scope.launch { registration.keep(::entryReplica) { !exchanges.state.isStopping } }
        exchange.start(seeds)
    }

    private fun startRetention(store: MetadataStore) {
        val state = RetainedState(
            requests = RetainedRequests({ exchanges.state.quarantine }, ::onCrashRetained),
            promptCrashes = RetainedPromptCrashes({ exchanges.state.partQuarantine }) {
                exchanges.emit(GatewayEvent.PromptCrashesLearned(it.toPersistentList()))
            },
            notices = RetainedNotices(
                known = { exchanges.state.notices },
                isListed = { it in exchanges.state.upstreams },
                onLearned = { exchanges.emit(GatewayEvent.NoticesRetained(it)) }
            )
        )
        retention = StateRetention(
            instance = settings.instanceId.value,
            table = schema.entryTable,
            store = store,
            clock = clock,
            state = state,
            log = log
        )
        exchanges.onCrash = { record ->
            crashes.add(record)
            retain { add(record) }
        }
        exchanges.onPromptCrash = { upstream -> retain { addPromptCrash(upstream) } }
        exchanges.onNotice = { upstream -> retain { addNotice(upstream) } }
    }

    private fun retain(change: StateRetention.() -> Unit) {
        retention.change()
        writeRetained(clock.now())
    }

    /** Replaces the seed addresses, which are polled in addition to registered entries. */
    fun updateSeeds(changed: Set<Address>) {
        seeds = changed
        followPeers()
    }

    /** Marks the entry unready after a suspension of [length], until it reads its tables again. */
    fun onSuspension(length: Duration) {
        staleSince = clock.now()
        tables.readAgain()
        setReady(false, "paused for ${length.inWholeMilliseconds} ms")
    }

    /** Expires missing upstreams and crashes, updates readiness and advances the keepers. */
    fun tick(now: Instant) {
        expireUpstreams(now)
        tables.forgetLostRows()
        crashes.expire(now)
        updateReadiness(now)
        exchange.tick(now)
        emitPeers()
        keeping.tick(now)
        writeRetained(now)
        deleteExpiredRows(now)
    }

    private fun onCrashRetained(record: CrashRecord) {
        if (record.crashes.isEmpty()) crashes.add(record)
        exchanges.emit(GatewayEvent.CrashLearned(record))
    }

    private fun writeRetained(now: Instant) {
        if (!retention.isDue(entryReplica(), now)) return
        scope.launch { retention.write(entryReplica()) }
    }

    private fun deleteExpiredRows(now: Instant) {
        if (now - cleanedAt < CLEANING_INTERVAL) return
        cleanedAt = now
        val isFirst = reports.serving.all { settings.instanceId.value < it.instance }
        if (isFirst) scope.launch { retention.deleteExpired(entryReplica()) }
    }

    private fun expireUpstreams(now: Instant) {
        val confirmedAt = tables[schema.upstreamTable].confirmedAt
        if (upstreams.expire(now, tables.returnedAt, confirmedAt)) emitUpstreams()
    }

    private fun registeredIncarnation(instance: String): Long? =
        entryReplica().row(Registration.keyOf(instance))?.let { decodeRow(it.value)?.incarnation }

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
    fun sendDelegatedHold(body: ByteArray, reply: (ByteArray?) -> Unit): Unit =
        keeping.sendDelegatedHold(body, reply)

    /** The report that this entry sends to the others. */
    fun report(): PeerReport = PeerReport(
        instance = settings.instanceId.value,
        incarnation = environment.incarnation,
        publicAddress = settings.listenAddress.toString(),
        zone = settings.zone.value,
        isReady = exchanges.state.isReady,
        isStopping = exchanges.state.isStopping,
        tableVersions = peerTables.versions + tables.versions,
        inFlight = exchanges.state.inFlight
            .map { (key, count) -> UpstreamInFlight(key.id.value, key.incarnation, count) },
        crashes = crashes.recent,
        leaving = exchanges.state.upstreams.values
            .filter { it.notice.isLeaving }
            .map { LeavingUpstream(it.record.id.value, it.record.incarnation) },
        groupsLeft = keeping.relinquishedGroups,
        slowRanks = keeping.reportedSlowRanks,
        leases = keeping.reportedLeases,
        leasesAgeMillis = keeping.leasesAgeMillis
    )

    /** The copy of [table], or null before the first read or if it is not of [era]. */
    fun tableCopy(table: String, era: Long?): TableCopy? =
        peerTables.copy(table) ?: tables.copy(table, era)

    /** Rows of entries; the same table also holds those of group leases. */
    private fun entryRows(): List<StoreRow> = with(entryReplica()) { rows + lostRows }
        .filter { it.key.startsWith(Registration.KEY_PREFIX) }

    private fun entryReplica(): TableReplica = tables[schema.entryTable].replica

    private fun onContact(table: String, replica: TableReplica, isChanged: Boolean) {
        if (!isChanged) return
        when (table) {
            schema.operatorTable -> onOperatorRows(replica)
            schema.upstreamTable -> {
                upstreams.update(replica, tables.returnedAt, clock.now())
                emitUpstreams()
            }
            schema.entryTable -> {
                followPeers()
                retention.read(replica)
            }
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
        val locations = registered.entries.mapNotNull { (instance, row) ->
            val address = row?.peerAddress?.let(Address::parseOrNull) ?: return@mapNotNull null
            address to EntryLocation(instance, ZoneName(row.zone))
        }
        exchange.update(locations.toMap(), seeds)
    }

    /** Answers the exchange of reports in [body]; null if it cannot be read. */
    fun answerExchange(body: ByteArray): ByteArray? = exchange.answer(body)

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
                slowdowns = reports.slowdowns.putAll(keeping.slowRanks)
            )
        )
    }

    private suspend fun onPolled(view: PeerView, client: HttpClient) {
        onReport(view)
        follow(view, client)
    }

    private fun onReport(view: PeerView) {
        view.report?.crashes?.forEach(crashes::learn)
    }

    /** Fetches what the entry in [view] offers beside its report. */
    private suspend fun follow(view: PeerView, client: HttpClient) {
        val report = view.report ?: return
        peerTables.follow(view) { table -> fetch(client, table, era = null) }
        tables.adopt(report, client)
    }

    private suspend fun fetch(client: HttpClient, table: String, era: Long?): TableCopy? {
        countPeerCall(Peers.TABLE_PATH)
        return fetchTable(client, table, era, TABLE_TIMEOUT)
    }

    private fun updateReadiness(now: Instant) {
        val since = staleSince ?: return
        val isFresh = tables.areReadAfter(since)
        val isWaitOver = now - since > REFRESH_TIMEOUT
        if (!tables.isComplete || exchanges.state.routes == null) return
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
        val TABLE_TIMEOUT = 1.seconds

        /** Time after which an entry serves with its current copies if the store is silent. */
        val REFRESH_TIMEOUT = 2.seconds

        /** Interval of checks for rows that nobody needs; short relative to their time to live. */
        val CLEANING_INTERVAL = 1.minutes
    }
}
