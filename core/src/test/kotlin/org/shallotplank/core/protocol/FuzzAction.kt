package org.shallotplank.core.protocol

import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** One action of the fuzz on the [ProtocolWorld]; [a] and [b] select its target or amount. */
data class FuzzAction(val kind: ActionKind, val a: Int, val b: Int)

enum class ActionKind(val weight: Int) {
    SEND_BOOKING(10),
    SEND_FIND(4),
    SEND_DRAFT(6),
    DELIVER(60),
    DELIVER_LATER(12),
    LOSE(6),
    DOUBLE(3),
    ADVANCE(10),
    CUT(3),
    PAUSE(2),
    RESUME(4),
    KILL_AGENT(2),
    KILL_ENTRY(1),
    TURN_COLD(2),
    TABLE_OUT(2),
    TABLE_BACK(4),
    ZONE_OUT(1),
    ZONE_BACK(2)
}

/**
 * Runs [actions] on a new world.
 *
 * The oracle checks each outcome, and at the end that all requests have ended.
 */
internal fun runProtocol(
    actions: List<FuzzAction>,
    mutation: Mutation = Mutation.NONE,
    worldSeed: Long = seedOf(actions)
) {
    val world = ProtocolWorld(worldSeed, mutation)
    actions.forEach { world.perform(it) }
    world.heal()
    world.oracle.assertAllEnded()
}

/** Seed that is the same in each JVM, unlike one made of hash codes of enum constants. */
private fun seedOf(actions: List<FuzzAction>): Long =
    actions.fold(0L) { hash, (kind, a, b) -> ((hash * 31 + kind.ordinal) * 31 + a) * 31 + b }

private fun ProtocolWorld.perform(action: FuzzAction) {
    val (kind, a, b) = action
    when (kind) {
        ActionKind.SEND_BOOKING -> send(a, CallKind.BOOK, key = b % BOOKING_KEYS)
        ActionKind.SEND_FIND -> send(a, CallKind.FIND, key = b)
        ActionKind.SEND_DRAFT -> send(a, CallKind.DRAFT, key = b)
        ActionKind.DELIVER -> inFlight.removeFirstOrNull()?.deliver?.invoke()
        ActionKind.DELIVER_LATER -> take(a)?.deliver?.invoke()
        ActionKind.LOSE -> take(a)?.lose?.invoke()
        ActionKind.DOUBLE ->
            inFlight.filter { it.isFrame }.let {
                if (it.isNotEmpty()) it[a % it.size].deliver()
            }
        ActionKind.ADVANCE -> advance((b * 10).milliseconds)
        ActionKind.CUT -> cut(a, b)
        ActionKind.PAUSE -> pause(a)
        ActionKind.RESUME -> resume(a)
        ActionKind.KILL_AGENT -> killAgent(a)
        ActionKind.KILL_ENTRY -> killEntry(a)
        ActionKind.TURN_COLD -> turnCold(a)
        ActionKind.TABLE_OUT -> table.isOut = true
        ActionKind.TABLE_BACK -> table.isOut = false
        ActionKind.ZONE_OUT -> moveZone(inService = false)
        ActionKind.ZONE_BACK -> moveZone(inService = true)
    }
}

private fun ProtocolWorld.take(index: Int): InFlight? =
    if (inFlight.isEmpty()) null else inFlight.removeAt(index % inFlight.size)

/** Draws random actions according to their weights. */
internal fun randomActions(random: Random): List<FuzzAction> {
    val kinds = ActionKind.entries.flatMap { kind -> List(kind.weight) { kind } }
    return List(RANDOM_ACTIONS) {
        FuzzAction(kinds.random(random), random.nextInt(100), random.nextInt(100))
    }
}

private const val BOOKING_KEYS = 4
private const val RANDOM_ACTIONS = 200
