package org.shallotplank.gateway.where

import kotlin.time.Instant
import org.shallotplank.core.InstanceId
import org.shallotplank.gateway.store.StoreRevision

/** When an entry last observed the tables of the store and the other entries. */
internal class Observations(val tables: List<TableContact>, val entries: List<EntryContact>)

/** A copy of the table [name], confirmed by the store at [answeredAt]. */
internal class TableContact(val name: String, val revision: StoreRevision, val answeredAt: Instant)

/** Another entry, whose last report was made at or after [reportedAt]. */
internal class EntryContact(val instance: InstanceId, val reportedAt: Instant)
