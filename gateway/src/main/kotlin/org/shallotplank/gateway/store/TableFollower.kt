package org.shallotplank.gateway.store

import arrow.core.Either
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.logRecord

/** How one table is polled. */
public class FollowSettings(
    public val table: String,
    /** Longest wait of one call for changes. */
    public val wait: Duration,
    /** Shortest time between two calls, which bounds the calls for a table that changes often. */
    public val minInterval: () -> Duration = { Duration.ZERO },
    /** Replaces [wait] while it is not null. */
    public val shorterWait: () -> Duration? = { null }
)

/**
 * Keeps a [TableReplica] up to date with the store.
 *
 * Reads the whole table at first and whenever the store does not have the changes since the last
 * read, such as after it was restored. The age of an answer is measured from the start of its call.
 */
public class TableFollower(
    private val settings: FollowSettings,
    private val store: MetadataStore,
    private val clock: Clock,
    private val random: Random,
    private val log: (LogRecord) -> Unit,
    private val contact: StoreContact = StoreContact(clock),
    private val onContact: (TableReplica, isChanged: Boolean) -> Unit
) {
    public val replica: TableReplica = TableReplica()

    /** Start of the last call that the store answered. */
    public var answeredAt: Instant = Instant.DISTANT_PAST
        private set

    /** The copy has all changes until then; later than [answeredAt], but not exact. */
    public var confirmedAt: Instant = Instant.DISTANT_PAST
        private set

    /** The latest changes, for entries that take them from this one. */
    public val changeLog: ChangeLog = ChangeLog(clock)

    /** Until when another entry supplies the table, so that the store is not called. */
    private var suppliedUntil: Instant = Instant.DISTANT_PAST

    private var failures = 0
    private var mustReadWhole = true
    private var openCall: OpenCall? = null

    private class OpenCall(val startedAt: Instant, val job: Job)

    /** Number of whole reads since the last answer with changes. */
    private var wholeReads = 0

    /** Polls the table until the coroutine is cancelled. */
    public suspend fun run() {
        while (true) {
            try {
                if (clock.now() < suppliedUntil) delay(SUPPLIED_INTERVAL) else pollOnce()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                // A reader that fails on one state of the table may read the next one.
                val place = e.stackTrace.firstOrNull()
                log(logRecord(LogEvent.INTERNAL_ERROR, "error" to e, "place" to place))
                delay(backoff(MAX_DOUBLINGS))
            }
        }
    }

    private suspend fun pollOnce() {
        val startedAt = clock.now()
        when (val outcome = pollUnlessAbandoned(startedAt)) {
            is Either.Left -> onFailure(outcome.value, startedAt)
            is Either.Right -> onAnswer(startedAt, outcome.value())
            null -> Unit
        }
    }

    /**
     * Returns how to apply the answer, or null if [abandonCall] ended the call.
     *
     * Nothing is applied here, so that no other coroutine sees a copy before [onContact] does.
     */
    private suspend fun pollUnlessAbandoned(
        startedAt: Instant
    ): Either<StoreFailure, () -> Boolean>? = coroutineScope {
        val call = async { poll() }
        openCall = OpenCall(startedAt, call)
        try {
            call.await()
        } catch (_: CancellationException) {
            ensureActive()
            null
        } finally {
            openCall = null
        }
    }

    /** Calls again at once if the open call began before [startedBefore]; it may be lost. */
    public fun abandonCall(startedBefore: Instant) {
        openCall?.takeIf { it.startedAt < startedBefore }?.job?.cancel()
    }

    /** Replaces the copy with [contents] from the process [source] if those are newer. */
    public fun adopt(contents: TableContents, source: String) {
        if (contents.revision <= replica.revision) return
        log(
            logRecord(
                LogEvent.STORE_TABLE_COPIED,
                "table" to settings.table,
                "source" to source,
                "revision" to contents.revision,
                "previous" to replica.revision
            )
        )
        onContact(replica, replace(contents))
    }

    private suspend fun poll(): Either<StoreFailure, () -> Boolean> = if (mustReadWhole) {
        store.read(settings.table).map { contents ->
            {
                mustReadWhole = false
                wholeReads++
                logWholeRead(contents)
                replace(contents)
            }
        }
    } else {
        val since = replica.revision
        store.changes(settings.table, since, waitTime()).map { changes ->
            {
                wholeReads = 0
                apply(ChangeBatch(since, changes))
            }
        }
    }

    /**
     * How long a call may wait for changes.
     *
     * Not at all while calls fail, so that the return of the store is noticed soon. During a grace
     * until its end, since an answer from then on shows which rows were not written again.
     */
    private fun waitTime(): Duration {
        val usual = settings.shorterWait() ?: settings.wait
        return when {
            failures > 0 -> Duration.ZERO
            answeredAt >= contact.graceEndsAt -> usual
            else -> (contact.graceEndsAt - clock.now()).coerceIn(Duration.ZERO, usual)
        }
    }

    /** Applies [batches], those that another entry has read; returns whether they fit. */
    public fun apply(batches: List<ChangeBatch>): Boolean {
        var isChanged = false
        for (batch in batches) {
            if (batch.changes.revision <= replica.revision) continue
            val isFitting =
                batch.from.era == replica.revision.era && batch.from <= replica.revision
            if (!isFitting) break
            if (apply(batch)) isChanged = true
        }
        if (isChanged) onContact(replica, true)
        return batches.isEmpty() || replica.revision >= batches.last().changes.revision
    }

    /**
     * Records that another entry supplies the table until [until].
     *
     * @param contactAt start of a call that the store answered that entry; this copy is as recent.
     */
    public fun onSupplied(contactAt: Instant, until: Instant) {
        suppliedUntil = until
        answeredAt = maxOf(answeredAt, contactAt)
        confirm(contactAt)
        contact.onAnswer(contactAt)
        onRegained()
    }

    /** Records that the copy has all changes until [at]. */
    public fun confirm(at: Instant) {
        confirmedAt = maxOf(confirmedAt, at)
    }

    /** Reads from the store again at once, such as after a suspension. */
    public fun endSupply() {
        suppliedUntil = Instant.DISTANT_PAST
    }

    private fun apply(batch: ChangeBatch): Boolean {
        val previous = replica.revision
        val isChanged = replica.apply(batch.changes)
        if (replica.revision > previous) changeLog.add(batch)
        return isChanged
    }

    private fun replace(contents: TableContents): Boolean {
        if (contents.revision > replica.revision) changeLog.clear()
        contact.onEra(contents.revision.era)
        if (replica.isRead && contents.revision.era > replica.revision.era) {
            val record = logRecord(
                LogEvent.STORE_RESTORED,
                "table" to settings.table,
                "revision" to contents.revision,
                "previous" to replica.revision
            )
            log(record)
        }
        return replica.replace(contents)
    }

    private fun logWholeRead(contents: TableContents) = log(
        logRecord(
            LogEvent.STORE_TABLE_READ,
            "table" to settings.table,
            "revision" to contents.revision,
            "previous" to replica.revision,
            "ignored" to (contents.revision < replica.revision)
        )
    )

    private suspend fun onAnswer(startedAt: Instant, isChanged: Boolean) {
        answeredAt = maxOf(answeredAt, startedAt)
        confirm(clock.now())
        contact.onAnswer()
        onRegained()
        onContact(replica, isChanged)
        val now = clock.now()
        val untilNext = settings.minInterval() - (now - startedAt)
        val untilGraceEnds = (contact.graceEndsAt - now).takeIf { it.isPositive() }
        delay(untilGraceEnds?.let { minOf(untilNext, it) } ?: untilNext)
    }

    private fun onRegained() {
        if (failures == 0) return
        log(logRecord(LogEvent.STORE_REGAINED, "table" to settings.table, "after" to failures))
        failures = 0
    }

    private suspend fun onFailure(failure: StoreFailure, startedAt: Instant) {
        if (failure == StoreFailure.HistoryGone && !mustReadWhole) {
            mustReadWhole = true
            if (wholeReads > 1) delay(backoff(wholeReads))
            return
        }
        if (failures == 0) {
            val record = logRecord(
                LogEvent.STORE_LOST,
                "table" to settings.table,
                "failure" to failure,
                "version" to replica.revision
            )
            log(record)
        }
        failures++
        contact.onFailure()
        // A call that timed out has taken its time already.
        delay(backoff(failures) - (clock.now() - startedAt))
    }

    private fun backoff(attempts: Int): Duration {
        val base = FIRST_BACKOFF * (1 shl attempts.coerceAtMost(MAX_DOUBLINGS))
        return base.coerceAtMost(MAX_BACKOFF) * (1.0 - BACKOFF_JITTER * random.nextDouble())
    }

    private companion object {
        val FIRST_BACKOFF = 50.milliseconds

        /** Well below the 2 s within which a change has to be in force. */
        val MAX_BACKOFF = 0.6.seconds
        const val MAX_DOUBLINGS = 4
        const val BACKOFF_JITTER = 0.5

        /** Time to notice that the table is no longer supplied. */
        val SUPPLIED_INTERVAL = 50.milliseconds
    }
}
