package org.shallotplank.gateway.group

import kotlinx.serialization.Serializable
import org.shallotplank.core.expertmap.GroupKeeper

/** One incarnation of an entry that may keep rank groups. */
@Serializable
internal data class KeeperCandidate(val instance: String, val incarnation: Long)

/**
 * An entry that keeps a group while neither the lease holder nor an earlier deputy serves.
 *
 * @property slot position in the order of deputies, from 1; never reused within a term.
 */
@Serializable
internal data class GroupDeputy(val instance: String, val incarnation: Long, val slot: Int) {
    val candidate: KeeperCandidate get() = KeeperCandidate(instance, incarnation)
}

/**
 * The lease of a rank group as a row of the store; [term] rises with each lease holder.
 *
 * The row also names deputies, so that the group has a keeper while the store is unreachable. The
 * holder and each deputy have a range of fencing numbers, a deputy's above those of the holder and
 * of all deputies in lower slots. If entries disagree about who serves, ranks therefore refuse the
 * lower fencing number, as they do for the holders of two terms.
 *
 * Each era of the store has a range of terms of its own, since a store that was restored from a
 * copy has lost the terms after it, whose fencing numbers the ranks have seen.
 */
@Serializable
internal data class GroupLease(
    val holder: String,
    val incarnation: Long,
    val term: Long,
    val deputies: List<GroupDeputy> = emptyList()
) {
    val leaseHolder: KeeperCandidate get() = KeeperCandidate(holder, incarnation)

    /**
     * Whether the holder has begun to keep the group, so that no earlier holder issues orders.
     *
     * Shown by the holder among its own deputies, which builds that do not know this ignore.
     */
    val isEstablished: Boolean get() = deputies.any { it.candidate == leaseHolder }

    /** The lease once its holder has begun to keep a group without other deputies. */
    fun established(): GroupLease =
        copy(deputies = listOf(GroupDeputy(holder, incarnation, slot = 1)))

    /** Whether the lease was claimed in [era] of the store or later. */
    fun isOfEra(era: Long): Boolean = term > lastTermBefore(era)

    /** Whether [candidate] is the lease holder; a later incarnation of that entry is not. */
    fun isHeldBy(candidate: KeeperCandidate): Boolean = candidate == leaseHolder

    /**
     * The fencing number with which [candidate] keeps the group while [serving] entries serve, null
     * if it is not the keeper.
     */
    fun fenceOf(candidate: KeeperCandidate, serving: Collection<KeeperCandidate>): Long? {
        if (isHeldBy(candidate)) return fenceOf(slot = 0)
        val deputy = deputies.find { it.candidate == candidate } ?: return null
        val isPreceded = leaseHolder in serving ||
            deputies.any { it.slot < deputy.slot && it.candidate in serving }
        return if (isPreceded) null else fenceOf(deputy.slot)
    }

    /** Whether the lease holder or a deputy is among [serving], so that the group has a keeper. */
    fun isServed(serving: Collection<KeeperCandidate>): Boolean = serving.any { candidate ->
        isHeldBy(candidate) || deputies.any { it.candidate == candidate }
    }

    /**
     * Returns the lease of the same term with the entries of [serving] as deputies.
     *
     * Present deputies that serve keep their slots; the slot of a removed deputy is not reused.
     */
    fun withDeputies(serving: Collection<KeeperCandidate>): GroupLease {
        val kept = deputies.filter { it.candidate in serving }
        val highestSlot = deputies.maxOfOrNull { it.slot } ?: 0
        val added = serving
            .filter { candidate ->
                candidate != leaseHolder &&
                    kept.none { it.candidate == candidate }
            }
            .take((MAX_DEPUTIES - kept.size).coerceAtLeast(0))
            .mapIndexed { index, added ->
                GroupDeputy(added.instance, added.incarnation, highestSlot + 1 + index)
            }
            .filter { it.slot <= LAST_SLOT }
        // The deputy with the highest slot stays listed so that its slot is not reused.
        val highestSlotHolder = deputies.filter { it.slot == highestSlot && it !in kept }
        return copy(deputies = kept + highestSlotHolder + added)
    }

    private fun fenceOf(slot: Int): Long =
        term * GroupKeeper.FENCES_PER_LEASE + slot * FENCES_PER_SLOT

    internal companion object {
        /** Enough that some remain when an availability zone fails. */
        private const val MAX_DEPUTIES = 4

        /** Size of the range of a holder or deputy, which uses one per change that it undoes. */
        private const val FENCES_PER_SLOT = 500L
        private const val LAST_SLOT = (GroupKeeper.FENCES_PER_LEASE / FENCES_PER_SLOT - 1).toInt()
        private const val TERMS_PER_ERA = 1_000_000L

        /** The term of the lease whose holder or deputy was given [fence]. */
        fun termOf(fence: Long): Long = fence / GroupKeeper.FENCES_PER_LEASE

        /** The last term that can have been given out before [era] of the store. */
        fun lastTermBefore(era: Long): Long = era * TERMS_PER_ERA
    }
}
