package org.shallotplank.core.group

import kotlinx.serialization.Serializable

/** Position of a rank in its group, from 0. */
@Serializable
@JvmInline
public value class Rank(public val index: Int) {
    override fun toString(): String = index.toString()
}

/** Identity of one process that acts as the agent of rank 0; drawn at random at its start. */
@Serializable
@JvmInline
public value class SequencerId(public val value: Long) : Comparable<SequencerId> {
    override fun compareTo(other: SequencerId): Int = value.compareTo(other.value)

    override fun toString(): String = value.toULong().toString(radix = 16)
}

/**
 * One run of an agent process together with one run of its engine process.
 *
 * [agent] is drawn at random when the agent starts; [engine] counts the engine's restarts since.
 */
@Serializable
public data class SessionId(val agent: Long, val engine: Int = 0) {
    /** The session after a restart of the engine. */
    public fun next(): SessionId = copy(engine = engine + 1)
}

/**
 * One formation of a rank group.
 *
 * Ordered by [number]; [sequencer] distinguishes the incarnations of two sequencers that chose the
 * same number. An agent follows no incarnation lower than the highest that it has promised.
 */
@Serializable
public data class GroupIncarnation(val number: Long, val sequencer: SequencerId) :
    Comparable<GroupIncarnation> {
    override fun compareTo(other: GroupIncarnation): Int =
        compareValuesBy(this, other, { it.number }, { it.sequencer })

    public companion object {
        /** Lower than any formation. */
        public val None: GroupIncarnation = GroupIncarnation(0, SequencerId(0))
    }
}
