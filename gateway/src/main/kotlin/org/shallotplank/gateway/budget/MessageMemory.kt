package org.shallotplank.gateway.budget

/**
 * Counts the memory that is held for answers of other processes while they are read and decoded:
 * those of the store, of engines and of other entries.
 */
public interface MessageMemory {
    /** Counts [bytes] more, or returns false if the message that needs them has to be dropped. */
    public fun hold(bytes: Long): Boolean

    /** Counts [bytes] no more. */
    public fun free(bytes: Long)
}

/**
 * Memory for messages that callers cannot use: the longest message and the copy that is decoded.
 *
 * Without it, callers could keep an entry from its store and from the other entries.
 */
internal const val MESSAGE_RESERVE_BYTES = 8L * 1_048_576
