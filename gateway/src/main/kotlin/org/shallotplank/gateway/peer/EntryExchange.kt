package org.shallotplank.gateway.peer

import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.shallotplank.core.Address
import org.shallotplank.core.gateway.EntryLocation
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.http.HttpClients

/** What an entry needs for exchanges. */
internal class ExchangeContext(
    val clients: HttpClients,
    val scope: CoroutineScope,
    val clock: Clock,
    val random: Random,
    val own: EntryLocation,
    val ownAddress: Address,
    val incarnation: Long,
    val maxPollingEntries: Int,
    /** Whether this entry has not been suspended since an instant, so that its clock ran. */
    val isAfterLastSuspension: (Instant) -> Boolean,
    val report: () -> PeerReport,
    val log: (LogRecord) -> Unit,
    val countCall: (path: String) -> Unit,
    /** The copies of the store's tables that members of this entry may use. */
    val suppliedTables: (now: Instant) -> List<SuppliedTable> = { emptyList() },
    /** Called with the copies of a hub as of [sentAt]. */
    val onSupplied: suspend (
        tables: List<SuppliedTable>,
        sentAt: Instant,
        hub: HttpClient
    ) -> Unit = { _, _, _ -> }
) {
    /** Logs an exception that would otherwise end a loop of the exchange. */
    fun logFailure(failure: Exception) {
        val place = failure.stackTrace.firstOrNull()
        log(logRecord(LogEvent.INTERNAL_ERROR, "error" to failure, "place" to place))
    }
}

/**
 * Gets the reports of the other entries as [planExchange] decides: by polling, or through hubs.
 *
 * @param onReport called with each new report, by whichever way it came.
 * @param follow fetches what the entry in the view offers beside its report.
 */
internal class EntryExchange(
    private val context: ExchangeContext,
    private val peers: Peers,
    tables: PeerTables,
    private val onReport: (PeerView) -> Unit,
    private val follow: suspend (PeerView, HttpClient) -> Unit
) {
    private val clock = context.clock
    private val answers = ExchangeAnswers(context, peers, tables, ::onPushed)
    private val caller = ExchangeCaller(context, peers, tables, onReport, follow)
    private var plan = ExchangePlan()
    private var plannedAt = Instant.DISTANT_PAST
    private val hubJobs = HashMap<Address, Job>()
    private var registered: Map<Address, EntryLocation> = emptyMap()
    private var seeds: Set<Address> = emptySet()

    /** Whether this entry acts as a hub. */
    val isHub: Boolean get() = plan.hubs.isNotEmpty() || answers.isAsked

    /** Starts to get reports; first of all of [seeds]. */
    fun start(seeds: Set<Address>) {
        update(emptyMap(), seeds)
        context.scope.launch { takeReports() }
    }

    /** Uses the entries at the addresses of [registered] and at [seeds] from now on. */
    fun update(registered: Map<Address, EntryLocation>, seeds: Set<Address>) {
        this.registered = registered - context.ownAddress
        this.seeds = seeds
        replan()
    }

    /** Adapts to hubs that came or went. */
    fun tick(now: Instant) {
        peers.updateLiveness()
        if (now - plannedAt >= PLAN_INTERVAL) replan()
    }

    /** Answers the exchange that [body] encodes; null if it cannot be read. */
    fun answer(body: ByteArray): ByteArray? = answers.answer(body)

    private fun replan() {
        val now = clock.now()
        plannedAt = now
        val previous = plan
        plan = planExchange(
            own = own(),
            others = registered.map { (address, location) ->
                peers.exchangeEntry(address, location, now)
            },
            maxPollingEntries = context.maxPollingEntries,
            isAsked = answers.isAsked,
            callingHubs = answers.callingHubs
        )
        val unregistered = seeds - registered.keys
        peers.track(registered.keys + seeds, plan.polled + unregistered)
        followHubs()
        if (plan.sources.firstOrNull() != previous.sources.firstOrNull() ||
            plan.hubs.isEmpty() != previous.hubs.isEmpty()
        ) {
            logChange()
        }
    }

    private fun own() = ExchangeEntry(
        instance = context.own.instance,
        address = context.ownAddress,
        zone = context.own.zone,
        state = context.report().exchangeState
    )

    private fun followHubs() {
        (hubJobs.keys - plan.hubs).forEach { hubJobs.remove(it)?.cancel() }
        for (hub in plan.hubs - hubJobs.keys) {
            hubJobs[hub] = context.scope.launch { takeMembers(hub) }
        }
    }

    private suspend fun takeMembers(hub: Address) {
        val link = HubLink(context.clients, hub)
        try {
            // The plan drops a hub whose report has become too old, which cancels this job.
            while (true) {
                if (!isAnswered { caller.ask(link, isHub = true) }) replan()
                delay(interval())
            }
        } finally {
            link.close()
        }
    }

    private suspend fun takeReports() {
        var link: HubLink? = null
        while (true) {
            val source = plan.sources.firstOrNull()
            if (source != link?.address) {
                link?.close()
                link = source?.let { HubLink(context.clients, it) }
            }
            val hub = link
            val isDone = hub == null || isAnswered { caller.ask(hub, isHub = false) }
            if (isDone) delay(if (link == null) PLAN_INTERVAL else interval()) else replan()
        }
    }

    /** Returns false after an exception, so that one message cannot end the exchange. */
    private suspend fun isAnswered(ask: suspend () -> Boolean): Boolean = try {
        ask()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        context.logFailure(e)
        delay(INTERVAL)
        false
    }

    /** Spread, so that the calls of all members do not stay in step. */
    private fun interval() = INTERVAL * (1.0 - JITTER * context.random.nextDouble())

    private fun onPushed(view: PeerView) {
        onReport(view)
        if (view.isFollowed) return
        view.isFollowed = true
        context.scope.launch {
            val client = context.clients.to(view.address)
            try {
                follow(view, client)
            } finally {
                view.isFollowed = false
                client.close()
            }
        }
    }

    private fun logChange() = context.log(
        logRecord(
            LogEvent.GATEWAY_HUB_CHANGED,
            "role" to when {
                plan.hubs.isNotEmpty() -> "hub"
                plan.sources.isNotEmpty() -> "member"
                else -> "polling"
            },
            "hub" to plan.sources.firstOrNull(),
            "entries" to registered.size + 1,
            "polled" to plan.polled.size
        )
    )

    internal companion object {
        val INTERVAL = 400.milliseconds
        private const val JITTER = 0.1
        private val PLAN_INTERVAL = 200.milliseconds
    }
}
