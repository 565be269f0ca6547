package org.shallotplank.core.expertmap

/**
 * State that a rank reports; up to half a second old on arrival unless [isFresh].
 *
 * @property epoch number of times that the group was formed.
 * @property isFormed whether the group is formed and runs steps.
 * @property step the last step that was begun.
 * @property slowdown time of the rank's work divided by its usual time; 1.0 for a healthy rank.
 * @property isFresh whether it shows the state at the time of the request.
 * @property heldStep a step that does not begin until it is released, or null.
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

/** A map to which a rank switches when [step] begins. */
public data class ArmedMap(val version: Long, val step: Long)

/** An order to a rank, which executes it only in the epoch for which it was given. */
public sealed interface RankOrder {
    /** Copy the experts that [map] adds to the rank. */
    public data class Prepare(val version: Long, val map: GroupMap) : RankOrder

    /** Switch to a prepared map when [step] begins. */
    public data class Arm(val version: Long, val step: Long) : RankOrder

    /** Do not switch to a map. */
    public data class Disarm(val version: Long) : RankOrder

    /** Do not begin [step] before it is released. */
    public data class Hold(val step: Long) : RankOrder

    /** Allow the held [step] to begin. */
    public data class Release(val step: Long) : RankOrder
}

/** What the keeper learned of the execution of a [RankOrder]. */
public enum class OrderOutcome {
    /** The rank has executed the order. */
    DONE,

    /** The rank is executing the order. */
    BEGUN,

    /** The order conflicts with the state of the rank. */
    CONFLICT,

    /** The rank has seen a higher fencing number. */
    FENCED,

    /** No answer came; the order may have been executed, or may still be. */
    NO_ANSWER
}
