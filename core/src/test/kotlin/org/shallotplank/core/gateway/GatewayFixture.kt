package org.shallotplank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.shallotplank.core.Address
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId
import org.shallotplank.core.RequestId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.quarantine.PromptPart

internal val startOfTest = Instant.fromEpochMilliseconds(1_000_000)
internal val testService = ServiceName("s")

internal fun testSettings(retrySlack: Int = 20) = GatewaySettings(
    instance = InstanceId("entry"),
    zone = ZoneName("a"),
    retryRatio = 0.2,
    retryWindow = 10.seconds,
    retrySlack = retrySlack
)

internal fun testRoute(kind: RequestKind, prefix: String = "/${kind.name.lowercase()}/") = Route(
    name = kind.name,
    host = "h",
    pathPrefix = prefix,
    kind = kind,
    targets = persistentListOf(RouteTarget(testService, 1)),
    timeout = 4.seconds,
    goal = 500.milliseconds,
    maxAttempts = 2,
    isResumable = kind == RequestKind.STREAM,
    longestPause = 120.milliseconds.takeIf { kind == RequestKind.STREAM }
)

internal fun testTable(
    version: Long = 1,
    coldRate: Double? = null,
    engine: EngineProfile? = null,
    routes: List<Route> = RequestKind.entries.map { testRoute(it) }
) = RouteTable(
    version = ConfigurationVersion(version),
    routes = routes.toPersistentList(),
    services = persistentMapOf(
        testService to UpstreamService(testService, 50, coldRate, engine)
    )
)

internal fun listedUpstream(
    name: String,
    zone: String = "a",
    slots: Int = 4,
    address: String = "10.0.0.$name",
    incarnation: Long = 1
) = ListedUpstream(
    UpstreamRecord(
        id = InstanceId(name),
        incarnation = incarnation,
        service = testService,
        address = Address(address, 80),
        zone = ZoneName(zone),
        slots = slots,
        isLeaving = false
    )
)

internal fun arrival(
    id: String,
    kind: RequestKind,
    now: Instant,
    timeLeft: Duration = 3.seconds,
    prefix: String = "/${kind.name.lowercase()}/",
    digest: String = id,
    parts: Set<String> = emptySet()
) = GatewayEvent.Arrived(
    GatewayRequest(
        id = RequestId(id),
        attemptId = id,
        host = "h",
        path = "${prefix}x",
        credential = null,
        timeLeft = timeLeft,
        bodySha256 = digest,
        arrivedAt = now,
        sharedParts = parts.map(::PromptPart).toPersistentSet()
    )
)
