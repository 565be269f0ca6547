package org.shallotplank.gateway.budget

import io.netty.util.internal.PlatformDependent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What the memory of a connection is held for. */
internal enum class HeldFor {
    /** A head that has not ended, or the head of a request without an answer. */
    HEAD,

    /** The body of a request that has no whole answer. */
    BODY,

    /** Parts of requests after the current one. */
    PIPELINED,

    /** The answer of an upstream that is not yet sent. */
    ANSWER,

    /** What was sent and the other side has not read. */
    UNREAD
}

/**
 * Memory held for one connection, in estimated bytes by [HeldFor].
 *
 * @param close closes the connection to free its memory.
 */
internal class MemoryShare(
    private val budget: MemoryBudget,
    openedAt: Instant,
    internal val close: () -> Unit
) {
    private val bytes = LongArray(HeldFor.entries.size)
    private var isReleased = false

    /** When the other side last sent or read something that is held or awaited. */
    var progressAt: Instant = openedAt
        private set

    /** Whether a request of the connection may be running at an upstream. */
    var isRunning: Boolean = false

    /** Whether this process has stopped reading from the connection to bound its memory. */
    var isPaused: Boolean = false
        private set

    internal var onPaused: (Boolean) -> Unit = {}

    /** Sum over all that is held. */
    val heldBytes: Long get() = bytes.sum()

    /** Sets what is held for [purpose] to [size], which may close this or another connection. */
    fun set(purpose: HeldFor, size: Long) {
        if (isReleased) return
        val change = size - bytes[purpose.ordinal]
        bytes[purpose.ordinal] = size
        budget.onChange(change)
    }

    /** Returns what is held for [purpose]. */
    fun of(purpose: HeldFor): Long = bytes[purpose.ordinal]

    /** Records that the other side made progress. */
    fun onProgress(now: Instant) {
        progressAt = now
    }

    internal fun pause(isPaused: Boolean, now: Instant) {
        if (this.isPaused == isPaused) return
        this.isPaused = isPaused
        // The other side cannot make progress while this process does not read.
        progressAt = now
        onPaused(isPaused)
    }

    /** What is held of requests that have not been read to their end. */
    internal val unfinishedBytes: Long
        get() = if (isRunning) 0 else of(HeldFor.HEAD) + of(HeldFor.BODY) + of(HeldFor.PIPELINED)

    /** Returns all bytes to the budget; nothing more is counted. */
    fun release() {
        if (isReleased) return
        isReleased = true
        val held = heldBytes
        bytes.fill(0)
        budget.onClosed(this, held)
    }
}

/**
 * Limit on the memory that all connections of a process hold together.
 *
 * Above [pauseBytes], connections that hold more than [smallBytes] are not read from, except the
 * one that goes first, so that it can complete within the rest. At [maxBytes], the connection that
 * holds most for longest without progress is closed.
 *
 * Messages of other processes have [messageReserveBytes] to themselves, so that the process holds
 * at most the sum of both. Above their reserve they use what connections leave free, and count as
 * these do; a message that finds no room is dropped and [onMessageRefused] called. Not thread-safe.
 */
internal class MemoryBudget(
    public val maxBytes: Long,
    private val messageReserveBytes: Long = MESSAGE_RESERVE_BYTES,
    private val onMessageRefused: () -> Unit = {},
    private val now: () -> Instant
) : MessageMemory {
    private val shares = LinkedHashSet<MemoryShare>()
    private var first: MemoryShare? = null

    /** Bytes above which connections are not read from. */
    val pauseBytes: Long = maxBytes - maxBytes / RESERVE_DIVISOR

    /** Bytes of a connection that is read from also above [pauseBytes]. */
    val smallBytes: Long = minOf(maxBytes / SMALL_DIVISOR, MAX_SMALL_BYTES)

    /** Bytes held for all connections, and for messages above their reserve. */
    var usedBytes: Long = 0
        private set

    /** Bytes held for messages of other processes. */
    var messageBytes: Long = 0
        private set

    /** Whether reading is bounded. */
    val isPressed: Boolean get() = usedBytes > pauseBytes

    /** Opens the share of a connection, which [close] closes. */
    fun open(close: () -> Unit): MemoryShare = MemoryShare(this, now(), close).also { shares += it }

    override fun hold(bytes: Long): Boolean {
        val added = aboveReserve(messageBytes + bytes) - aboveReserve(messageBytes)
        // The rest up to the maximum is for small requests and for the large one that goes first.
        if (added > 0 && usedBytes + added > pauseBytes) {
            onMessageRefused()
            return false
        }
        messageBytes += bytes
        usedBytes += added
        return true
    }

    override fun free(bytes: Long) {
        usedBytes -= aboveReserve(messageBytes) - aboveReserve(messageBytes - bytes)
        messageBytes -= bytes
    }

    private fun aboveReserve(bytes: Long): Long = maxOf(0, bytes - messageReserveBytes)

    internal fun onChange(change: Long) {
        usedBytes += change
        if (change <= 0) return
        while (usedBytes > maxBytes) {
            val victim = victimOf(shares, now()) ?: return
            closeForMemory(victim)
        }
    }

    internal fun onClosed(share: MemoryShare, held: Long) {
        if (shares.remove(share)) usedBytes -= held
        if (first === share) first = null
    }

    /** Decides whom to read from, and closes who makes no progress while memory is short. */
    fun sweep() {
        val at = now()
        if (!isPressed) {
            shares.forEach { it.pause(false, at) }
            return
        }
        stalledOf(shares, at, smallBytes).forEach(::closeForMemory)
        first = firstToRead(shares, smallBytes)
        for (share in shares.toList()) {
            share.pause(share !== first && share.unfinishedBytes > smallBytes, at)
        }
    }

    /** Stops reading from [share] until a sweep if memory is short and it does not go first. */
    fun pauseIfPressed(share: MemoryShare) {
        if (!isPressed || share.unfinishedBytes <= smallBytes) return
        if (first == null) first = share
        if (first !== share) share.pause(true, now())
    }

    private fun closeForMemory(share: MemoryShare) {
        // Released first, so that what its owner still counts cannot close others.
        share.release()
        share.close()
    }

    companion object {
        /** A quarter is left for small requests and for the one large request that goes first. */
        private const val RESERVE_DIVISOR = 4
        private const val SMALL_DIVISOR = 256
        private const val MAX_SMALL_BYTES = 65_536L

        /** Time without progress after which a connection is closed while memory is short. */
        internal val PRESSED_GRACE: Duration = 1.seconds
    }
}

/**
 * Returns which of [shares] goes first while memory is short: the one that was not paused, or else
 * the one that holds most, which is likely to be the closest to its end.
 */
internal fun firstToRead(shares: Collection<MemoryShare>, smallBytes: Long): MemoryShare? = shares
    .filter { it.unfinishedBytes > smallBytes }
    .maxWithOrNull(compareBy<MemoryShare> { !it.isPaused }.thenBy { it.unfinishedBytes })

/** Returns which of [shares] make no progress although nothing keeps them from it. */
internal fun stalledOf(
    shares: Collection<MemoryShare>,
    now: Instant,
    smallBytes: Long
): List<MemoryShare> = shares.filter {
    val isWaiting = it.isRunning && it.of(HeldFor.UNREAD) == 0L
    !it.isPaused &&
        !isWaiting &&
        it.heldBytes > smallBytes &&
        now - it.progressAt >= MemoryBudget.PRESSED_GRACE
}

/**
 * Returns whose memory to free: what it holds, multiplied by the time without progress, is largest.
 *
 * Connections whose request may be running or whose answer is not sent come last, since nothing is
 * known of such a request after its connection was closed.
 */
internal fun victimOf(shares: Collection<MemoryShare>, now: Instant): MemoryShare? = shares
    .filter { it.heldBytes > 0 }
    .maxWithOrNull(
        compareBy<MemoryShare> { !it.isRunning && it.of(HeldFor.UNREAD) == 0L }
            .thenBy { it.heldBytes * (now - it.progressAt + MIN_AGE).inWholeMilliseconds }
    )

/** Lets a connection count by its size that has just made progress. */
private val MIN_AGE = 0.1.seconds

/**
 * Returns the bytes that a process may hold for connections, by the limits of its JVM.
 *
 * Bodies are in direct memory, of which reads and writes need a part; heads and unread parts are in
 * the heap, most of which is for the process itself.
 */
internal fun defaultMaxBytes(maxHeapBytes: Long, maxDirectBytes: Long): Long =
    minOf(maxHeapBytes / HEAP_DIVISOR, maxDirectBytes / DIRECT_DIVISOR)

private const val HEAP_DIVISOR = 3
private const val DIRECT_DIVISOR = 2

/** The bytes that this process may hold for connections unless its settings say otherwise. */
internal fun jvmMaxBytes(): Long =
    defaultMaxBytes(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory())
