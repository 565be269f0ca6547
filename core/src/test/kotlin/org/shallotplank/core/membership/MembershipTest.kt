package org.shallotplank.core.membership

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.collections.immutable.toPersistentList
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import org.junit.jupiter.api.Nested
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceState

class MembershipTest {
    private val id = InstanceId("engine-1")
    private val view = View()

    @Nested
    inner class Silence {
        @Test
        fun `of a listed instance makes it suspected but not gone`() {
            view.list(id)
            view.receiveHeartbeat(id)
            view.wait(60)
            assertEquals(Liveness.SUSPECTED, view.liveness(id))
            view.receiveHeartbeat(id)
            assertEquals(Liveness.LIVE, view.liveness(id))
        }

        @Test
        fun `of an instance that the list lacks makes it gone`() {
            view.list(id)
            view.receiveHeartbeat(id)
            view.list()
            assertEquals(Liveness.LIVE, view.liveness(id))
            view.wait(4)
            assertEquals(Liveness.GONE, view.liveness(id))
        }

        @Test
        fun `is not counted while the observing process is suspended`() {
            view.receiveHeartbeat(id)
            view.pause(60)
            assertEquals(Liveness.LIVE, view.liveness(id))
            view.wait(4)
            assertEquals(Liveness.GONE, view.liveness(id))
        }
    }

    @Nested
    inner class Leaving {
        @Test
        fun `applies to the incarnation that a notice names`() {
            view.receiveHeartbeat(id, incarnation = 2)
            view.receiveLeavingNotice(id, incarnation = 1)
            assertEquals(Liveness.LIVE, view.liveness(id))
            view.receiveLeavingNotice(id, incarnation = 2)
            assertEquals(Liveness.LEAVING, view.liveness(id))
            view.receiveHeartbeat(id, incarnation = 3)
            assertEquals(Liveness.LIVE, view.liveness(id))
        }

        @Test
        fun `on the list applies to the first heartbeat of an instance`() {
            view.list(id, state = InstanceState.LEAVING)
            view.receiveHeartbeat(id)
            assertEquals(Liveness.LEAVING, view.liveness(id))
        }

        @Test
        fun `on an outdated list does not affect the next incarnation`() {
            view.receiveHeartbeat(id, incarnation = 1)
            view.list(id, state = InstanceState.LEAVING)
            view.receiveHeartbeat(id, incarnation = 2)
            view.list(id, state = InstanceState.LEAVING)
            assertEquals(Liveness.LIVE, view.liveness(id))
            assertContains(view.effects, MembershipEffect.Restarted(id, 2))
        }
    }

    @Property(tries = 100, seed = "7")
    fun `an older incarnation never takes effect`(@ForAll("incarnations") heartbeats: List<Int>) {
        val own = View()
        heartbeats.forEach { own.receiveHeartbeat(id, it.toLong(), isLeaving = it % 2 == 0) }
        val newest = heartbeats.maxOrNull() ?: return
        val expected = if (newest % 2 == 0) Liveness.LEAVING else Liveness.LIVE
        assertEquals(expected, own.liveness(id))
    }

    @Provide
    fun incarnations(): Arbitrary<List<Int>> = Arbitraries.integers().between(1, 9).list()

    private class View {
        private val membership = Membership()
        private var state = MembershipState()
        private var now = Instant.fromEpochSeconds(0)
        val effects = mutableListOf<MembershipEffect>()

        fun liveness(id: InstanceId): Liveness? = state.members[id]?.liveness

        fun list(id: InstanceId? = null, state: InstanceState = InstanceState.LIVE) {
            val instances = listOfNotNull(id).map { upstream(it.value).copy(state = state) }
            apply(MembershipEvent.ListRead(now, instances.toPersistentList()))
        }

        fun receiveHeartbeat(id: InstanceId, incarnation: Long = 1, isLeaving: Boolean = false) =
            apply(MembershipEvent.HeartbeatReceived(now, id, incarnation, isLeaving))

        fun receiveLeavingNotice(id: InstanceId, incarnation: Long) =
            apply(MembershipEvent.LeavingNoticed(now, id, incarnation))

        fun wait(seconds: Int) = repeat(seconds * 2) {
            now += 500.milliseconds
            apply(MembershipEvent.Tick(now))
        }

        fun pause(seconds: Int) {
            now += seconds.seconds
            apply(MembershipEvent.Tick(now))
        }

        private fun apply(event: MembershipEvent) {
            val step = membership.reduce(state, event)
            state = step.state
            effects += step.effects
        }
    }
}
