package org.shallotplank.bench.decisions

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.bench.simulation.VirtualClock
import org.shallotplank.core.Address
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.gateway.EngineProfile
import org.shallotplank.core.gateway.EntryLocation
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.gateway.GatewaySettings
import org.shallotplank.core.gateway.ListedUpstream
import org.shallotplank.core.gateway.RequestKind
import org.shallotplank.core.gateway.Route
import org.shallotplank.core.gateway.RouteTable
import org.shallotplank.core.gateway.RouteTarget
import org.shallotplank.core.gateway.UpstreamKey
import org.shallotplank.core.gateway.UpstreamRecord
import org.shallotplank.core.gateway.UpstreamService
import org.shallotplank.core.work.RequestSize

/** Random sizes of one request, drawn once so that its retries are the same work. */
internal class RequestDraw(
    val promptTokens: Double,
    private val events: Int,
    val size: RequestSize,
    private val workTime: Duration,
    private val failureRandom: Random
) {
    fun work(kind: LoadKind, receiver: WorkReceiver): SimulatedWork = SimulatedWork(
        promptTokens = promptTokens,
        events = events,
        workTime = workTime,
        isFailed = failureRandom.nextDouble() < kind.failedShare,
        receiver = receiver
    )
}

/**
 * Simulates entries with [policies] before the upstreams of [load].
 *
 * The traffic depends on [seed] alone, so that two policies meet the same requests.
 */
internal class DecisionSimulation(private val load: DecisionLoad, way: DecisionWay, seed: Long) {
    private val clock = VirtualClock(start = START)
    private val trafficRandom = Random(seed)
    private val policyRandom = Random(seed + 1)
    private val upstreams = load.services.map { service ->
        service.engine?.let { SimulatedRankGroup(service, it, clock) }
            ?: SimulatedPlainService(service, clock, Random(seed + 2))
    }
    private val sites = load.services.flatMapIndexed { index, service ->
        sitesOf(service, upstreams[index])
    }.associateBy { UpstreamKey(it.listed.record.id, it.listed.record.incarnation) }
    private val listed = sites.values.map { it.listed }.toPersistentList()
    private val entries = load.zones.flatMapIndexed { zone, entry ->
        List(entry.entries) { entryOf(zone, it, way) }
    }
    private val locations = entries.map { it.location }.toPersistentSet()
    private val measurements = ServiceMeasurements(load)

    /** Slowdowns that the keepers of the rank groups report. */
    private var slowdowns = persistentMapOf<InstanceId, Double>()

    /** Runs the load once and returns what its callers were served. */
    fun run(): ServiceMeasurements {
        entries.forEachIndexed { index, entry ->
            entry.start(listed)
            clock.after(load.reportInterval * index / entries.size) { reportTo(entry) }
        }
        load.kinds.forEach { kind ->
            load.zones.indices.forEach { zone -> arriveLater(kind, zone) }
        }
        load.faults.forEach(::schedule)
        clock.runFor(load.length + DRAIN_TIME)
        measurements.connectionsOpened = entries.sumOf { it.connectionsOpened }
        measurements.rejectedAttempts = entries.sumOf { it.rejectedAttempts }
        return measurements
    }

    private fun sitesOf(service: LoadService, upstreams: SimulatedUpstreams): List<UpstreamSite> {
        val zones = service.upstreamsPerZone.flatMapIndexed { zone, count -> List(count) { zone } }
        return zones.mapIndexed { index, zone ->
            val record = UpstreamRecord(
                id = InstanceId("%s-%04d".format(service.name, index)),
                incarnation = 1,
                service = ServiceName(service.name),
                address = Address("10.0.${index / 200}.${index % 200 + 1}", 80),
                zone = ZoneName(load.zones[zone].name),
                slots = service.slots,
                isLeaving = false
            )
            UpstreamSite(ListedUpstream(record), zone, index, service, upstreams)
        }
    }

    private fun entryOf(zone: Int, index: Int, way: DecisionWay): SimulatedEntry {
        val name = ZoneName(load.zones[zone].name)
        val instance = InstanceId("entry-${name.value}-$index")
        return SimulatedEntry(
            location = EntryLocation(instance, name),
            zone = zone,
            settings = GatewaySettings(
                instance = instance,
                zone = name,
                retryRatio = load.bounds.ratio,
                retryWindow = load.bounds.window,
                retrySlack = load.bounds.slack,
                workRouting = way.workRouting,
                policies = way.policies
            ),
            routes = routes,
            sites = sites,
            load = load,
            clock = clock,
            random = policyRandom
        )
    }

    private val routes: RouteTable get() = RouteTable(
        version = ConfigurationVersion(1),
        routes = load.kinds.map(::routeOf).toPersistentList(),
        services = load.services.associate { service ->
            val name = ServiceName(service.name)
            val engine = service.engine?.let(::profileOf)
            name to UpstreamService(name, service.connections, service.coldPerSecond, engine)
        }.toPersistentMap()
    )

    private fun profileOf(engine: LoadEngine) = EngineProfile(
        eventStride = engine.stride,
        stepTime = engine.step,
        timePerRequest = engine.stepPerRequest,
        timePerThousandTokens = engine.stepPerThousandTokens,
        promptTokensPerSecond = engine.promptTokensPerMilli * MILLIS_PER_SECOND,
        chunkTokens = engine.chunkTokens,
        memoryTokens = engine.memoryTokens,
        usualPromptTokens = engine.usualPromptTokens,
        usualAnswerTokens = engine.usualAnswerTokens
    )

    private fun routeOf(kind: LoadKind) = Route(
        name = kind.name,
        host = SimulatedEntry.HOST,
        pathPrefix = SimulatedEntry.pathOf(kind),
        kind = kind.kind,
        targets = listOf(RouteTarget(ServiceName(kind.service), 1)).toPersistentList(),
        timeout = kind.timeout,
        goal = kind.goal,
        maxAttempts = kind.maxAttempts,
        isResumable = kind.kind == RequestKind.STREAM,
        longestPause = kind.longestPause
    )

    private fun reportTo(entry: SimulatedEntry) {
        clock.after(load.reportInterval) { reportTo(entry) }
        if (!entry.isUp) return
        val others = entries.filter { it !== entry && it.isUp }
        others.forEach { other ->
            other.workToReport(clock.now)?.let {
                entry.onWork(GatewayEvent.WorkLearned(other.location.instance, it))
            }
        }
        val inFlight = HashMap<UpstreamKey, Int>()
        others.forEach { other ->
            other.inFlight.forEach { (key, n) -> inFlight.merge(key, n, Int::plus) }
        }
        entry.onPeers(
            GatewayEvent.PeersReported(
                entryCount = entries.size,
                inFlight = inFlight.toPersistentMap(),
                entries = locations,
                serving = others.map { it.location.instance }.toPersistentSet(),
                slowdowns = slowdowns
            )
        )
    }

    private fun arriveLater(kind: LoadKind, zone: Int) {
        val mean = kind.perSecond * load.zones[zone].trafficShare *
            load.zones[zone].trafficAt(clock.elapsed) * burstFactor()
        clock.after(-ln(1 - trafficRandom.nextDouble()).seconds / mean) {
            if (clock.elapsed > load.length) return@after
            val promptTokens = draw(kind.prompt)
            val events = draw(kind.events).toInt().coerceAtLeast(1)
            val draw = RequestDraw(
                promptTokens = promptTokens,
                events = events,
                size = sizeOf(kind, promptTokens, events),
                workTime = draw(kind.workMillis).milliseconds,
                failureRandom = Random(trafficRandom.nextLong())
            )
            val entryDraw = Random(trafficRandom.nextLong())
            measurements.begin(kind, zone, draw, clock.elapsed)
                .let { SimulatedCaller(it, kind, draw, entryDraw).send() }
            arriveLater(kind, zone)
        }
    }

    /** What the caller states: the prompt, and a hint that is right at the median. */
    private fun sizeOf(kind: LoadKind, promptTokens: Double, events: Int): RequestSize {
        val error = kind.hintError ?: return RequestSize()
        val stride = load.services.first { it.name == kind.service }.engine?.stride ?: 1
        val hint = events * stride * exp(error * trafficRandom.asJavaRandom().nextGaussian())
        return RequestSize(
            promptTokens = promptTokens.toInt(),
            maxOutputTokens = (kind.events.max * stride).toInt(),
            hintTokens = hint.toInt().coerceAtLeast(1)
        )
    }

    private fun burstFactor(): Double = load.faults
        .filter { it.kind == LoadFaultKind.BURST && clock.elapsed in it.at..it.at + it.length }
        .fold(1.0) { factor, fault -> factor * fault.factor }

    /** Draws a log-normal size with the mean and spread of [size]. */
    private fun draw(size: SizeDistribution): Double {
        if (size.mean <= 0.0) return 0.0
        val variance = ln(1 + size.spread * size.spread)
        val normal = trafficRandom.asJavaRandom().nextGaussian()
        return minOf(size.mean * exp(sqrt(variance) * normal - variance / 2), size.max)
    }

    private fun schedule(fault: LoadFault) = repeat(fault.count) { round ->
        clock.after(fault.at + fault.gap * round) { strike(fault) }
    }

    private fun strike(fault: LoadFault) {
        val rankGroups = upstreams.filterIsInstance<SimulatedRankGroup>()
        val plain = upstreams.filterIsInstance<SimulatedPlainService>()
        when (fault.kind) {
            LoadFaultKind.DEMAND_JUMP -> rankGroups.forEach { it.jumpDemand() }
            LoadFaultKind.SLOW_RANK -> {
                slowDownOneRank(rankGroups, fault.factor)
                clock.after(fault.length) { slowDownOneRank(rankGroups, slowdown = 1.0) }
            }
            LoadFaultKind.ANSWERS_LOST -> {
                plain.forEach { it.lostShare = fault.factor }
                clock.after(fault.length) { plain.forEach { it.lostShare = 0.0 } }
            }
            LoadFaultKind.BURST -> Unit
            LoadFaultKind.POWER_LOSS -> {
                upstreams.forEach { it.losePower(fault.length) }
                entries.forEach { entry ->
                    entry.losePower()
                    clock.after(fault.length) { entry.start(listed) }
                }
            }
        }
    }

    private fun slowDownOneRank(rankGroups: List<SimulatedRankGroup>, slowdown: Double) {
        rankGroups.forEach { it.slowDownOneRank(slowdown, DETECTION_TIME) }
        val slow = sites.values.filter { it.upstreams in rankGroups && it.index == 0 }
            .associate { it.listed.record.id to slowdown }
        clock.after(DETECTION_TIME) {
            slowdowns = slow.filterValues { it > 1.0 }.toPersistentMap()
        }
    }

    /** A caller with one request, which returns after a refusal as often as its kind allows. */
    private inner class SimulatedCaller(
        private val result: RequestResult,
        private val kind: LoadKind,
        private val draw: RequestDraw,
        private val entryDraw: Random
    ) : CallerAnswer {
        private val startedAt = clock.now
        private var lastEventAt = clock.now
        private var returnsLeft = kind.returns
        private var attempt = 0

        fun send() {
            val timeLeft = startedAt + kind.deadline - clock.now
            if (timeLeft <= Duration.ZERO) return
            val number = ++attempt
            clock.after(load.callerDelay) {
                val serving = entries.filter { it.isUp }.ifEmpty { entries }
                serving[entryDraw.nextInt(serving.size)]
                    .submit(kind, draw, timeLeft - load.callerDelay, Attempt(number))
            }
        }

        /** Ignores what arrives for earlier attempts than the caller's last one. */
        private inner class Attempt(private val number: Int) : CallerAnswer {
            override fun onEvent() = later { this@SimulatedCaller.onEvent() }

            override fun onEnd(status: Int) = later { this@SimulatedCaller.onEnd(status) }

            override fun onRefused(status: Int, retryAfter: Duration?) =
                later { this@SimulatedCaller.onRefused(status, retryAfter) }

            override fun onCut() = later { this@SimulatedCaller.onCut() }

            private fun later(action: () -> Unit) = clock.after(load.callerDelay) {
                if (number == attempt && clock.now <= startedAt + kind.deadline) action()
            }
        }

        override fun onEvent() {
            val pause = clock.now - lastEventAt
            if (result.firstEvent == null) {
                result.firstEvent = clock.now - startedAt
            } else {
                result.longestPause = maxOf(result.longestPause, pause)
            }
            lastEventAt = clock.now
        }

        override fun onEnd(status: Int) {
            if (status >=
                FIRST_FAILURE_STATUS
            ) {
                return retry(kind.kind == RequestKind.SAFE, FAILURE_DELAY)
            }
            result.endedAfter = clock.now - startedAt
        }

        override fun onRefused(status: Int, retryAfter: Duration?) {
            result.refusals++
            val mayRetry = status == STATUS_UNAVAILABLE || kind.kind != RequestKind.UNSAFE
            val timeLeft = startedAt + kind.deadline - clock.now
            retry(mayRetry, (retryAfter ?: FAILURE_DELAY).coerceAtMost(timeLeft / 3))
        }

        override fun onCut(): Unit = retry(kind.kind != RequestKind.UNSAFE, FAILURE_DELAY)

        private fun retry(isAllowed: Boolean, delay: Duration) {
            attempt++
            if (!isAllowed || returnsLeft == 0) return
            returnsLeft--
            clock.after(delay) { send() }
        }
    }

    private companion object {
        /** Later than any time that the reducer subtracts from the present. */
        val START = Instant.fromEpochSeconds(1_000_000)

        /** Covers the deadline of every request that arrived before the end. */
        /** Three iterations of a group with a slow rank. */
        val DETECTION_TIME = 1.seconds
        val DRAIN_TIME = 10.seconds
        val FAILURE_DELAY = 50.milliseconds
        const val FIRST_FAILURE_STATUS = 500
        const val STATUS_UNAVAILABLE = 503
        const val MILLIS_PER_SECOND = 1_000
    }
}
