package org.shallotplank.core.protocol

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks the fuzz's own world, which must not do what real processes can't. */
class ProtocolWorldTest {
    @Test
    fun `a killed agent starts nothing that waited at it`() {
        val world = ProtocolWorld(seed = 1)
        repeat(REQUESTS) { world.send(entry = it, CallKind.DRAFT, key = it) }
        repeat(REQUESTS) { world.inFlight.removeFirstOrNull()?.deliver?.invoke() }
        val agents = 0 until ProtocolFixture.AGENTS
        val before = agents.map { world.callCount(it) }
        assertTrue(before.all { it > 0 })

        agents.forEach { world.killAgent(it) }

        assertEquals(before, agents.map { world.callCount(it) })
    }

    /** Each list failed while a killed agent acted on the ends of its connections. */
    @Test
    fun `lists of actions that failed before`() {
        for (seed in listOf(786_970L, 870_161L, 909_593L, 936_289L)) {
            val actions = randomActions(Random(seed))
            repeat(WORLDS) { runProtocol(actions, worldSeed = it.toLong()) }
        }
    }

    private companion object {
        /** Enough that each upstream runs as many as it may and others wait. */
        const val REQUESTS = 24
        const val WORLDS = 40
    }
}
