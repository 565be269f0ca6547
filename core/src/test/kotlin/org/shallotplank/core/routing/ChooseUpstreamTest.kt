package org.shallotplank.core.routing

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.junit.jupiter.api.Nested
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName

class ChooseUpstreamTest {
    private val now = Instant.fromEpochSeconds(100)
    private val prefix = PrefixFingerprint("prefix")
    private val request = RoutingRequest(ZoneName("khomas-a"), "windhoek", ServiceName("app"))

    @Nested
    inner class `Among eligible upstreams` {
        @Test
        fun `the less utilized one is chosen`() {
            val busy = view("busy").copy(outstanding = 4)
            assertEquals("idle", choose(busy, view("idle")).chosen?.value)
        }

        @Test
        fun `one in the zone of the entry is chosen at equal load`() {
            val far = view("far").copy(zone = ZoneName("khomas-b"))
            assertEquals("near", choose(far, view("near")).chosen?.value)
        }

        @Test
        fun `one that has cached the prefix is chosen despite a somewhat higher load`() {
            val holder = view(
                "holder"
            ).copy(outstanding = 2, cachedPrefixes = persistentSetOf(prefix))
            val decision = choose(holder, view("idle"), request = request.copy(prefix = prefix))
            assertEquals("holder", decision.chosen?.value)
        }

        @Test
        fun `load from other entries counts less the older the report is`() {
            val report = ReportedLoad(8, 0, Duration.ZERO, at = now - 60.seconds)
            val stale = view("stale").copy(load = report)
            val fresh = view("fresh").copy(load = report.copy(at = now))
            assertEquals("stale", choose(stale, fresh).chosen?.value)
        }
    }

    @Nested
    inner class `Upstreams that may not receive the request` {
        @Test
        fun `are listed with the reason for the rejection`() {
            val decision = choose(
                view("draining").copy(draining = true),
                view("tried"),
                view("broken").copy(consecutiveFailures = 3, lastFailureAt = now),
                request = request.copy(excluded = persistentSetOf(InstanceId("tried")))
            )
            assertNull(decision.chosen)
            assertEquals(
                mapOf(
                    "draining" to RoutingReason.DRAINING,
                    "tried" to RoutingReason.EXCLUDED,
                    "broken" to RoutingReason.CIRCUIT_OPEN
                ),
                decision.considered.associate { it.id.value to it.reason }
            )
        }

        @Test
        fun `get one probe at a time after the open time if they have reported again`() {
            val report = ReportedLoad(0, 0, Duration.ZERO, at = now - 1.seconds)
            val broken = view("broken").copy(
                consecutiveFailures = 3,
                lastFailureAt = now - 2.seconds,
                load = report
            )
            assertEquals("broken", choose(broken).chosen?.value)
            assertNull(choose(broken.copy(outstanding = 1)).chosen)
        }

        @Test
        fun `get a probe later if they have not reported since the failure`() {
            val silent = view("silent").copy(
                consecutiveFailures = 3,
                lastFailureAt = now - 2.seconds
            )
            assertNull(choose(silent).chosen)
            val later = silent.copy(lastFailureAt = now - 17.seconds)
            assertEquals("silent", choose(later).chosen?.value)
        }
    }

    private fun choose(vararg views: UpstreamView, request: RoutingRequest = this.request) =
        chooseUpstream(persistentListOf(*views), request, now, Random(1))

    private fun view(id: String) = UpstreamView(
        id = InstanceId(id),
        zone = ZoneName("khomas-a"),
        region = "windhoek",
        address = Address("127.0.0.1", 1),
        concurrencyLimit = 16
    )
}
