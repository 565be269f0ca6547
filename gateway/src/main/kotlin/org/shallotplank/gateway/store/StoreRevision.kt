package org.shallotplank.gateway.store

/**
 * A state of the store: the number of its last transaction within an era.
 *
 * A store that is restored from a copy begins a new era and numbers its transactions from those of
 * the copy again, so versions of different eras say nothing about their order.
 *
 * @property era rises by one with each restoration; 0 for a store that does not report eras.
 * @property version number of the transaction; 0 before the first one.
 */
public data class StoreRevision(public val era: Long, public val version: Long) :
    Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int =
        compareValuesBy(this, other, { it.era }, { it.version })

    override fun toString(): String = "$era.$version"

    public companion object {
        /** Precedes all revisions of a store. */
        public val NONE: StoreRevision = StoreRevision(era = 0, version = -1)
    }
}
