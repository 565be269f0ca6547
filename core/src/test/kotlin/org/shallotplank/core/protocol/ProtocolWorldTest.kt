package org.shallotplank.core.protocol

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that the simulation of the fuzz does nothing that real processes cannot do. */
class ProtocolWorldTest {
    @Test
    fun `a killed agent starts none of its queued attempts`() {
        val world = ProtocolWorld(seed = 1)
        repeat(REQUESTS) { world.send(entry = it, CallKind.DRAFT, key = it) }
        repeat(REQUESTS) { world.inFlight.removeFirstOrNull()?.deliver?.invoke() }
        val agents = 0 until ProtocolFixture.AGENTS
        val before = agents.map { world.callCount(it) }
        assertTrue(before.all { it > 0 })

        agents.forEach { world.killAgent(it) }

        assertEquals(before, agents.map { world.callCount(it) })
    }

    /** Each of these seeds failed while a killed agent handled the closing of its connections. */
    @Test
    fun `action lists that failed in the past succeed`() {
        for (seed in listOf(786_970L, 870_161L, 909_593L, 936_289L)) {
            val actions = randomActions(Random(seed))
            repeat(WORLDS) { runProtocol(actions, worldSeed = it.toLong()) }
        }
    }

    private companion object {
        /** Enough to bring each upstream to its limit while further requests wait. */
        const val REQUESTS = 24
        const val WORLDS = 40
    }
}
