package org.shallotplank.gateway

import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.shallotplank.config.GatewayEntrySettings
import org.shallotplank.core.log.LogRecord
import org.shallotplank.gateway.group.LeaseGuard
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.RowCopy
import org.shallotplank.gateway.peer.SuppliedTable
import org.shallotplank.gateway.peer.TableCopy
import org.shallotplank.gateway.peer.reportedVersions
import org.shallotplank.gateway.peer.returnedAge
import org.shallotplank.gateway.peer.revisionOf
import org.shallotplank.gateway.peer.supplied
import org.shallotplank.gateway.store.FollowSettings
import org.shallotplank.gateway.store.MetadataStore
import org.shallotplank.gateway.store.StoreContact
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.TableContents
import org.shallotplank.gateway.store.TableFollower
import org.shallotplank.gateway.store.TableReplica
import org.shallotplank.gateway.where.TableContact

/**
 * Copies of the store's tables.
 *
 * They come from the store; from a hub, while it has recently reached the store; or from any other
 * entry, while the store does not answer.
 *
 * @param contact when the store could be reached.
 * @param isHub whether this entry supplies others.
 * @param entryCount number of registered entries.
 * @param isAfterLastSuspension whether this entry's clock ran since an instant.
 * @param fetch fetches a copy of a table from another entry, if it is of an era.
 * @param onContact called with a copy after each contact, and whether it has changed.
 */
internal class StoreTables(
    private val settings: GatewayEntrySettings,
    private val schema: StoreSchema,
    private val clock: Clock,
    private val random: Random,
    private val contact: StoreContact,
    private val isHub: () -> Boolean,
    private val entryCount: () -> Int,
    private val isAfterLastSuspension: (Instant) -> Boolean,
    private val fetch: suspend (HttpClient, table: String, era: Long?) -> TableCopy?,
    private val onContact: (table: String, TableReplica, isChanged: Boolean) -> Unit,
    private val log: (LogRecord) -> Unit
) {
    private var followers: Map<String, TableFollower> = emptyMap()

    /** Tables that hubs may supply. */
    private val suppliable = if (settings.areFencesChecked) {
        setOf(schema.operatorTable, schema.upstreamTable, schema.entryTable)
    } else {
        // The lease table tells when the previous holder must have stopped.
        setOf(schema.operatorTable, schema.upstreamTable)
    }

    /** When the store last answered for any table; null before [start]. */
    val answeredAt: Instant? get() = followers.values.maxOfOrNull { it.answeredAt }

    /** When the store last returned from an outage or was restored. */
    val returnedAt: Instant get() = contact.returnedAt

    /** Whether each table has been read at least once. */
    val isComplete: Boolean get() = followers.values.all { it.replica.isRead }

    /** The copies and when the store last confirmed them. */
    val contacts: List<TableContact>
        get() = followers.map { (table, it) ->
            TableContact(table, it.replica.revision, it.answeredAt)
        }

    /** Versions of the copies as reports carry them. */
    val versions: Map<String, Long>
        get() = reportedVersions(
            revisions = followers.mapValues { (_, it) -> it.replica.revision },
            returnedAge = (clock.now() - contact.returnedAt).takeIf { it < REPORTED_RETURN_AGE }
        )

    /** The follower of [table]. */
    operator fun get(table: String): TableFollower = followers.getValue(table)

    /** Starts to follow the tables in [store]. */
    fun start(store: MetadataStore, scope: CoroutineScope) {
        val follows = listOf(
            FollowSettings(
                schema.operatorTable,
                wait = OPERATOR_WAIT,
                shorterWait = { HUB_WAIT.takeIf { isHub() } }
            ),
            FollowSettings(
                schema.upstreamTable,
                wait = UPSTREAM_WAIT,
                minInterval = ::upstreamPollInterval,
                shorterWait = { HUB_UPSTREAM_WAIT.takeIf { isHub() } }
            ),
            FollowSettings(
                schema.entryTable,
                wait = if (settings.areFencesChecked) ENTRY_WAIT else LeaseGuard.MAX_POLL_WAIT,
                minInterval = { ENTRY_POLL_INTERVAL },
                shorterWait = { HUB_WAIT.takeIf { isHub() } }
            )
        )
        followers = follows.associate { follow ->
            follow.table to TableFollower(
                settings = follow,
                store = store,
                clock = clock,
                random = random,
                log = log,
                contact = contact,
                onContact = { replica, isChanged -> onContact(follow.table, replica, isChanged) }
            )
        }
        contact.onAnswersAgain =
            { at -> followers.values.forEach { it.abandonCall(startedBefore = at) } }
        followers.values.forEach { follower -> scope.launch { follower.run() } }
    }

    /** Whether all copies were read from the store after [since]. */
    fun areReadAfter(since: Instant): Boolean = followers.values.all { it.answeredAt > since }

    /** Reads all tables from the store itself, as after a suspension. */
    fun readAgain(): Unit = followers.values.forEach { it.endSupply() }

    /** Whether the copy shows which rows were not written again after a return of the store. */
    private fun isGraceOver(follower: TableFollower): Boolean =
        follower.confirmedAt >= contact.graceEndsAt

    /** Forgets the rows that a restored store lost and nobody wrote within the grace. */
    fun forgetLostRows() {
        for ((table, follower) in followers) {
            if (isGraceOver(follower) && follower.replica.forgetLostRows()) {
                onContact(table, follower.replica, true)
            }
        }
    }

    /** The copy of [table], or null before the first read or if it is not of [era]. */
    fun copy(table: String, era: Long? = null): TableCopy? {
        val replica = followers[table]?.replica?.takeIf { it.isRead } ?: return null
        if (era != null && era != replica.revision.era) return null
        val rows = replica.rows.map { RowCopy(it.key, it.value, it.version) }
        return TableCopy(replica.revision.version, rows)
    }

    /** Takes over the newer tables that [report] offers while the store does not answer. */
    suspend fun adopt(report: PeerReport, client: HttpClient) {
        val returnedAge = report.returnedAge
        for ((table, follower) in followers) {
            val offered = report.revisionOf(table) ?: continue
            val isAnswered = clock.now() - follower.answeredAt < STALENESS_BOUND
            if (isAnswered) continue
            // Before the copy: rows that expired in an outage are not taken for departures.
            returnedAge?.let { contact.onSupplierReturned(clock.now() - it) }
            if (offered > follower.replica.revision) {
                adopt(follower, table, offered.era, report.instance, client)
            }
            val isGraceOver = returnedAge != null && returnedAge >= contact.rewriteGrace
            if (isGraceOver && follower.replica.revision >= offered) {
                follower.confirm(contact.graceEndsAt)
            }
        }
    }

    private suspend fun adopt(
        follower: TableFollower,
        table: String,
        era: Long,
        source: String,
        client: HttpClient
    ) {
        // Rows of a later era under this one would hide which rows the store lost when restored.
        val copy = fetch(client, table, era) ?: return
        val contents = TableContents(copy.storeRows(), StoreRevision(era, copy.version))
        follower.adopt(contents, source)
    }

    /** What this entry supplies at [now]. */
    fun supplied(now: Instant): List<SuppliedTable> = followers
        .filterKeys { it in suppliable }
        .filterValues { it.replica.isRead && isAfterLastSuspension(it.answeredAt) }
        .map { (table, follower) ->
            SuppliedTable(
                name = table,
                era = follower.replica.revision.era,
                version = follower.replica.revision.version,
                // Rounded up, so that no copy seems more recent than it is.
                contactAgeMillis = (now - follower.answeredAt).inWholeMilliseconds + 1,
                returnedAgeMillis = contact.returnedAt.takeIf { it > Instant.DISTANT_PAST }
                    ?.let { (now - it).inWholeMilliseconds },
                batches = follower.changeLog.batches.map { it.supplied() }
            )
        }

    /** Uses the [tables] that a hub supplied at [sentAt], if it has recently reached the store. */
    suspend fun onSupplied(tables: List<SuppliedTable>, sentAt: Instant, hub: HttpClient) {
        if (isHub()) return
        val contactAge = tables.minOfOrNull { it.contactAgeMillis.milliseconds } ?: return
        if (clock.now() - (sentAt - contactAge) >= MAX_HUB_CONTACT_AGE) return
        tables.filter { it.name in suppliable }.forEach { use(it, sentAt, hub) }
    }

    private suspend fun use(table: SuppliedTable, sentAt: Instant, hub: HttpClient) {
        val follower = followers[table.name]?.takeIf { it.replica.isRead } ?: return
        val contactAt = sentAt - table.contactAgeMillis.milliseconds
        if (clock.now() - contactAt >= STALENESS_BOUND) return
        // Before the changes: rows that expired in an outage are not taken for departures.
        table.returnedAgeMillis?.let { contact.onSupplierReturned(sentAt - it.milliseconds) }
        if (!reach(follower, table, hub) || clock.now() - contactAt >= STALENESS_BOUND) return
        follower.onSupplied(
            contactAt = contactAt,
            until = minOf(clock.now() + SUPPLY_TIME, contactAt + STALENESS_BOUND)
        )
    }

    /** Brings the copy to the revision of [table]; false if the copy is of another history. */
    private suspend fun reach(
        follower: TableFollower,
        table: SuppliedTable,
        hub: HttpClient
    ): Boolean {
        val revision = follower.replica.revision
        if (table.era < revision.era) return false
        if (revision < table.revision && table.era == revision.era) {
            follower.apply(table.changeBatches())
        }
        if (follower.replica.revision < table.revision) {
            adopt(follower, table.name, table.era, "hub", hub)
        }
        return follower.replica.revision >= table.revision
    }

    private fun upstreamPollInterval(): Duration = if (isHub()) {
        MIN_UPSTREAM_POLL_INTERVAL
    } else {
        (UPSTREAM_POLL_INTERVAL_PER_ENTRY * entryCount())
            .coerceIn(MIN_UPSTREAM_POLL_INTERVAL, MAX_UPSTREAM_POLL_INTERVAL)
    }

    private companion object {
        /**
         * Maximum wait of a call for changes.
         *
         * A change has to be in force within 2 s, or within 5 s if the connection was silent; the
         * client closes a connection without an answer soon after this wait.
         */
        val UPSTREAM_WAIT = 1_600.milliseconds

        /** Short, since answers to these calls, which follow each other, show an outage first. */
        val OPERATOR_WAIT = 800.milliseconds
        val MIN_UPSTREAM_POLL_INTERVAL = 300.milliseconds

        /** Limits the total call rate of the entries for a table that changes continuously. */
        val UPSTREAM_POLL_INTERVAL_PER_ENTRY = 45.milliseconds

        /** Half of the 2 s after which a leaving upstream must get no further requests. */
        val MAX_UPSTREAM_POLL_INTERVAL = 1.seconds
        val ENTRY_WAIT = 4_000.milliseconds
        val ENTRY_POLL_INTERVAL = 500.milliseconds

        /** Two calls in a row stay below [MAX_HUB_CONTACT_AGE]. */
        val HUB_UPSTREAM_WAIT = 400.milliseconds

        /** Two calls in a row stay below [STALENESS_BOUND]. */
        val HUB_WAIT = 800.milliseconds

        /** Age of a hub's last contact with the store above which its members follow the store. */
        val MAX_HUB_CONTACT_AGE = 1.seconds

        /** An interval of exchanges and some time for the answer. */
        val SUPPLY_TIME = 600.milliseconds

        /** Entries that reach the store later than others learn its return from their reports. */
        val REPORTED_RETURN_AGE = 10.seconds

        /** Age of the last store contact above which newer tables are fetched from peers. */
        val STALENESS_BOUND = 2_000.milliseconds
    }
}
