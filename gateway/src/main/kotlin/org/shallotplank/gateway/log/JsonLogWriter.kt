package org.shallotplank.gateway.log

import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.LogRecord
import org.shallotplank.core.log.Severity
import org.shallotplank.core.log.logRecord

/**
 * Writes records as JSON lines with a bounded rate, and never blocks on the output.
 *
 * Each event has its own budget of lines per second, so that a frequent event cannot displace
 * others. Lines over budget and lines dropped because the queue was full are counted and reported
 * once a second. Not safe for use by several threads.
 *
 * @param instance name of the process, on every line.
 * @param clock monotonic clock of the budgets.
 * @param wallClock time of day on the lines.
 */
public class JsonLogWriter(
    private val instance: String,
    private val clock: Clock,
    private val wallClock: Clock,
    output: OutputStream,
    private val linesPerSecond: Int = LINES_PER_SECOND
) {
    private val queue = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val droppedLines = AtomicLong()
    private var secondStart: Instant = clock.now()
    private val writtenByEvent = IntArray(LogEvent.entries.size)
    private val suppressedByEvent = IntArray(LogEvent.entries.size)

    init {
        thread(name = "log", isDaemon = true) { drain(output) }
    }

    /** Queues a line of [record], unless the budget of its event is spent. */
    public fun write(record: LogRecord) {
        val now = clock.now()
        if (now - secondStart >= BUDGET_INTERVAL) startSecond(now)
        val event = record.event.ordinal
        if (writtenByEvent[event] >= budgetOf(record.event)) {
            suppressedByEvent[event]++
            return
        }
        writtenByEvent[event]++
        offer(record)
    }

    /** Waits until everything queued is written, for [millis] at most. */
    public fun flush(millis: Long) {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis)
        while (queue.isNotEmpty() && System.nanoTime() < end) TimeUnit.MILLISECONDS.sleep(1)
    }

    private fun budgetOf(event: LogEvent): Int = when (event.severity) {
        Severity.DEBUG, Severity.INFO -> linesPerSecond
        Severity.WARN, Severity.ERROR -> linesPerSecond * WARNING_FACTOR
    }

    private fun startSecond(now: Instant) {
        val suppressed = LogEvent.entries.filter { suppressedByEvent[it.ordinal] > 0 }
        val droppedCount = droppedLines.getAndSet(0)
        if (suppressed.isNotEmpty() || droppedCount > 0) {
            val counts = suppressed.joinToString(",") {
                "SP${it.number}:${suppressedByEvent[it.ordinal]}"
            }
            offer(logRecord(LogEvent.LINES_LEFT_OUT, "events" to counts, "unread" to droppedCount))
        }
        writtenByEvent.fill(0)
        suppressedByEvent.fill(0)
        secondStart = now
    }

    private fun offer(record: LogRecord) {
        if (!queue.offer(record.json(instance, wallClock.now()))) droppedLines.incrementAndGet()
    }

    private fun drain(output: OutputStream) {
        val batch = ArrayList<String>(BATCH_LINES)
        while (true) {
            batch += queue.take()
            queue.drainTo(batch, BATCH_LINES - 1)
            val text = batch.joinToString(separator = "\n", postfix = "\n")
            output.write(text.toByteArray())
            output.flush()
            batch.clear()
        }
    }

    private companion object {
        /** Lines per second of one event; some 60 events make a few MB per second at most. */
        const val LINES_PER_SECOND = 60

        /** Warnings and errors get a larger budget than other events. */
        const val WARNING_FACTOR = 2

        /** About one megabyte of lines that wait to be written. */
        const val QUEUE_LINES = 4_096
        const val BATCH_LINES = 64
        val BUDGET_INTERVAL = 1.seconds
    }
}

/** Encodes the record as JSON: time, instance, event number, severity, message and fields. */
internal fun LogRecord.json(instance: String, at: Instant): String = buildString(256) {
    append("{\"time\":\"").append(at).append("\",\"instance\":")
    appendQuoted(instance)
    append(",\"event\":\"SP").append(event.number)
    append("\",\"severity\":\"").append(event.severity)
    append("\",\"message\":")
    appendQuoted(event.summary)
    for (field in fields) {
        append(',')
        appendQuoted(field.name)
        append(':')
        appendQuoted(field.value)
    }
    append('}')
}

private fun StringBuilder.appendQuoted(text: String) {
    append('"')
    for (char in text) {
        when {
            char == '"' || char == '\\' -> append('\\').append(char)
            char < ' ' -> append("\\u%04x".format(char.code))
            else -> append(char)
        }
    }
    append('"')
}
