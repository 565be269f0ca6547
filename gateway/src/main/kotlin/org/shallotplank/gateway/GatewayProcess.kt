package org.shallotplank.gateway

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.gateway.GatewayEvent
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.group.RankPort
import org.shallotplank.gateway.http.HttpClients
import org.shallotplank.gateway.log.JsonLogWriter
import org.shallotplank.gateway.store.MetadataStore

/** Clocks, random numbers, log writer and incarnation of a gateway entry. */
public class GatewayEnvironment(
    /** A monotonic clock. */
    public val clock: Clock,
    public val random: Random,
    public val writer: JsonLogWriter,
    /** Identifies this start of the process; no earlier start of the instance had this number. */
    public val incarnation: Long,
    /** Time of day, which advances also while the machine is suspended. */
    public val wallClock: Clock
)

/**
 * A gateway entry: forwards requests by host and path straight to upstreams.
 *
 * Everything runs on one event loop, so that no state is shared between threads.
 *
 * @param store opens the client of the store with the given clients.
 * @param ranks opens the client of the rank groups' engines with the given clients.
 */
public class GatewayProcess(
    private val settings: GatewayEntrySettings,
    private val headers: HeaderNames,
    private val schema: StoreSchema,
    private val directory: DirectoryWire,
    private val store: (HttpClients) -> MetadataStore,
    private val ranks: (HttpClients, (LogRecord) -> Unit) -> RankPort,
    private val environment: GatewayEnvironment
) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = environment.clock
    private val metrics = GatewayMetrics()
    private val exceptionHandler = CoroutineExceptionHandler { _, failure -> logFailure(failure) }
    private val scope =
        CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher() + exceptionHandler)
    private val stopped = CountDownLatch(1)
    private val exchanges = GatewayExchanges(
        settings = settings,
        headers = headers,
        group = group,
        environment = environment,
        metrics = metrics,
        log = ::log
    )
    private val clients = HttpClients(group, exchanges.messages)
    private val clusterView = ClusterView(
        settings = settings,
        schema = schema,
        clients = clients,
        scope = scope,
        environment = environment,
        exchanges = exchanges,
        log = ::log,
        countPeerCall = metrics::countPeerCall
    )
    private val interfaces =
        GatewayInterfaces(settings, directory, group, metrics, clusterView, exchanges, clock)
    private var lastTickAt: Instant = clock.now()

    /** Starts to listen and to follow the store. */
    public fun start() {
        log(
            logRecord(
                LogEvent.PROCESS_STARTED,
                "instance" to settings.instanceId.value,
                "incarnation" to environment.incarnation,
                "zone" to settings.zone,
                "callers" to settings.listenAddress
            )
        )
        exchanges.start()
        interfaces.start()
        loop.execute {
            lastTickAt = clock.now()
            clusterView.start(store(clients), ranks(clients, ::log))
        }
        loop.scheduleAtFixedRate(
            ::tick,
            TICK.inWholeMilliseconds,
            TICK.inWholeMilliseconds,
            TimeUnit.MILLISECONDS
        )
    }

    /** Applies those changed settings that may change while the process runs. */
    public fun reload(changed: GatewayEntrySettings) {
        loop.execute {
            log(
                logRecord(
                    LogEvent.SETTINGS_RELOADED,
                    "seeds" to changed.seedAddresses.toSet().joinToString(",")
                )
            )
            exchanges.emit(GatewayEvent.SettingsChanged(changed.toReducerSettings()))
            clusterView.updateSeeds(changed.seedAddresses.toSet())
        }
    }

    /** Drains and stops; returns when no request is open, or after the stop grace. */
    public fun stop() {
        loop.execute { scope.launch { drain() } }
        stopped.await(settings.stopGrace.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        log(logRecord(LogEvent.PROCESS_STOPPED, "open_requests" to exchanges.openCount))
        environment.writer.flush(FLUSH.inWholeMilliseconds)
    }

    private suspend fun drain() {
        val startedAt = clock.now()
        log(logRecord(LogEvent.PROCESS_DRAINING, "open_requests" to exchanges.openCount))
        val announceTime = DRAIN_ANNOUNCE_TIME.coerceAtMost(settings.stopGrace / 2)
        val end = startedAt + settings.stopGrace - EXIT_MARGIN
        exchanges.emit(
            GatewayEvent.StopRequested(
                admissionEndsAt = startedAt + announceTime,
                serviceEndsAt = end
            )
        )
        // The entry stays registered meanwhile: it serves requests and may finish a group change.
        delay(announceTime)
        scope.launch { clusterView.unregister() }
        exchanges.closeIdle()
        while (exchanges.openCount > 0 && clock.now() < end + LAST_ANSWERS_TIME) {
            delay(TICK)
            exchanges.closeIdle()
        }
        delay(TICK)
        scope.cancel()
        stopped.countDown()
    }

    private fun tick() {
        try {
            val now = clock.now()
            if (now - lastTickAt > SUSPENSION_THRESHOLD) clusterView.onSuspension(now - lastTickAt)
            lastTickAt = now
            clusterView.tick(now)
            exchanges.tick(now)
        } catch (e: Exception) {
            logFailure(e)
        } catch (e: OutOfMemoryError) {
            // An exception would end the ticks, and with them all timeouts.
            logFailure(e)
        }
    }

    private fun log(record: LogRecord) {
        metrics.countEvent(record.event)
        environment.writer.write(record)
    }

    private fun logFailure(failure: Throwable) {
        val location = failure.stackTrace.firstOrNull()
        val record = logRecord(LogEvent.INTERNAL_ERROR, "error" to failure, "place" to location)
        log(record)
    }

    private companion object {
        /** Resolution of timeouts; a tenth of the 500 ms within which they have to act. */
        val TICK = 50.milliseconds

        /** A longer gap between ticks is a suspension, after which all tables are read again. */
        val SUSPENSION_THRESHOLD: Duration = 700.milliseconds

        /** Callers learn within this time that the entry drains; new requests are still served. */
        val DRAIN_ANNOUNCE_TIME = 3.seconds

        /** Reserved at the end of the stop grace for closing connections. */
        val EXIT_MARGIN = 700.milliseconds

        /** Time for the answers to requests that are still open at the end of the service. */
        val LAST_ANSWERS_TIME: Duration = TICK * 4
        val FLUSH = 100.milliseconds
    }
}
