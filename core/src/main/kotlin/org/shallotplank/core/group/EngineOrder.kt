package org.shallotplank.core.group

import org.shallotplank.core.placement.MapVersion
import org.shallotplank.core.placement.VersionedMap

/**
 * An order of an agent to its engine.
 *
 * The agent has at most one order pending. The port that executes it reports
 * [RankEvent.EngineAnswered], or [RankEvent.OrderExpired] once the order can no longer take effect.
 * Orders are idempotent. An engine that has just started enters no step before [Enter].
 */
public sealed interface EngineOrder {
    public val incarnation: GroupIncarnation

    /** Enter no further step. */
    public data class Hold(override val incarnation: GroupIncarnation) : EngineOrder

    /** Load the weights of [map] in addition to those in use. */
    public data class Stage(override val incarnation: GroupIncarnation, val map: VersionedMap) :
        EngineOrder

    /** Do not enter [step] or any later step. */
    public data class Arm(
        override val incarnation: GroupIncarnation,
        val version: MapVersion,
        val step: Long
    ) : EngineOrder

    /**
     * Lift the hold and the arm, and use [version] from [step] on.
     *
     * If [version] is already in use, the engine continues from its current step. Otherwise an
     * armed engine runs up to [step] and switches there; a held engine drops its unfinished step
     * and enters [step] next. A version that is not staged is refused, as the answer shows.
     */
    public data class Enter(
        override val incarnation: GroupIncarnation,
        val version: MapVersion,
        val step: Long
    ) : EngineOrder
}

/** State of an engine after an order: the last [step] entered and the [version] in use. */
public data class EngineAnswer(val step: Long, val version: MapVersion)
