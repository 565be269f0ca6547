package org.shallotplank.core.placement

import kotlin.random.Random
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant
import net.jqwik.api.ForAll
import net.jqwik.api.Property

/**
 * Checks that at most one process holds a valid lease at any time, with lost or late requests and
 * answers, long pauses and restarts.
 */
class LeaseFuzz {
    private class Request(val candidate: Int, val effect: LeaseEffect)

    private class Reply(val candidate: Int, val number: Long, val answer: LeaseAnswer)

    private class World(val random: Random) {
        val reducer = LeaseReducer(LeaseSettings())
        val states = MutableList(3) { LeaseState.starting("life-$it") }
        val requests = mutableListOf<Request>()
        val replies = mutableListOf<Reply>()
        var row: LeaseRow? = null
        var version = 0L
        var now = Instant.fromEpochSeconds(0)
        var startCount = states.size

        fun doRandomAction() {
            val candidate = random.nextInt(states.size)
            when (random.nextInt(20)) {
                in 0..7 -> tick(candidate)
                in 8..11 -> carryOut(losesAnswer = random.nextInt(5) == 0)
                in 12..15 -> reply()
                16 -> if (requests.isNotEmpty()) requests.removeAt(random.nextInt(requests.size))
                17 -> if (random.nextInt(20) == 0) restart(candidate)
                else -> now += random.nextLong(if (random.nextInt(10) == 0) 20_000 else 800)
                    .milliseconds
            }
        }

        fun tick(candidate: Int) {
            val step = reducer.tick(states[candidate], now)
            states[candidate] = step.state
            step.effects.forEach { requests += Request(candidate, it) }
        }

        fun carryOut(losesAnswer: Boolean) {
            if (requests.isEmpty()) return
            val request = requests.removeAt(random.nextInt(requests.size))
            val effect = request.effect
            val isWritten = effect is LeaseEffect.Write && effect.expectedVersion == version
            if (effect is LeaseEffect.Write && isWritten) {
                row = effect.row
                version++
            }
            val answer =
                if (isWritten) LeaseAnswer.Written(version) else LeaseAnswer.Found(row, version)
            if (losesAnswer) return
            replies += Reply(request.candidate, effect.number, answer)
        }

        fun reply() {
            if (replies.isEmpty()) return
            val reply = replies.removeAt(random.nextInt(replies.size))
            states[reply.candidate] =
                reducer.answered(states[reply.candidate], reply.number, reply.answer, now)
        }

        fun restart(candidate: Int) {
            states[candidate] = LeaseState.starting("life-${startCount++}")
            requests.removeAll { it.candidate == candidate && random.nextBoolean() }
            replies.removeAll { it.candidate == candidate }
        }

        fun holders(): List<FencingNumber> = states.mapNotNull { it.heldFencing(now) }
    }

    @Property(tries = 300, seed = "5")
    fun `at most one process holds the lease, and exactly one after recovery`(@ForAll seed: Long) {
        val world = World(Random(seed))
        repeat(1_500) {
            world.doRandomAction()
            assertTrue(world.holders().size <= 1, "holders at once: ${world.holders()}")
        }
        world.requests.clear()
        world.replies.clear()
        repeat(40) { round ->
            world.tick(round % 3)
            while (world.requests.isNotEmpty()) world.carryOut(losesAnswer = false)
            while (world.replies.isNotEmpty()) world.reply()
            world.now += 1_000.milliseconds
        }
        assertNotNull(world.holders().singleOrNull(), "not exactly one process holds the lease")
    }
}
