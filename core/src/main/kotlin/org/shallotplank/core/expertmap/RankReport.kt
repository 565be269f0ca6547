package org.shallotplank.core.expertmap

/**
 * What a rank says of itself; up to half a second old unless it [isFresh].
 *
 * @property epoch counts how often the group has formed.
 * @property step the last pass that was begun.
 * @property slowdown time that its work takes over what it usually takes; 1.0 for a sound rank.
 * @property isFresh whether it shows the rank as it was when it was asked.
 * @property heldStep a pass that does not begin until it is released, null for none.
 */
public data class RankReport(
    val epoch: Long,
    val isFormed: Boolean,
    val step: Long,
    val mapVersion: Long,
    val preparedVersion: Long? = null,
    val armed: ArmedMap? = null,
    val heldStep: Long? = null,
    val slowdown: Double = 1.0,
    val isFresh: Boolean = false
)

/** A map that a rank switches to as a pass begins. */
public data class ArmedMap(val version: Long, val step: Long)

/** An order to a rank, which carries it out only in the epoch it is meant for. */
public sealed interface RankOrder {
    /** Copy the experts that [map] adds to the rank. */
    public data class Prepare(val version: Long, val map: GroupMap) : RankOrder

    /** Switch to a prepared map as pass [step] begins. */
    public data class Arm(val version: Long, val step: Long) : RankOrder

    /** Do not switch to a map. */
    public data class Disarm(val version: Long) : RankOrder

    /** Do not begin pass [step] before it is released. */
    public data class Hold(val step: Long) : RankOrder

    /** Release pass [step]. */
    public data class Release(val step: Long) : RankOrder
}

/** What came of a [RankOrder]. */
public enum class OrderOutcome {
    /** It is carried out. */
    DONE,

    /** It is under way. */
    BEGUN,

    /** It does not fit the rank's state. */
    CONFLICT,

    /** The rank has seen a higher fencing number. */
    FENCED,

    /** Nobody answered; it may have been carried out, or may be later. */
    NO_ANSWER
}
