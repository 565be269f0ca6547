package org.shallotplank.integrationtest.load

import java.nio.ByteBuffer
import kotlin.test.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.shallotplank.core.Address

/** Where a load is sent, and how much of it. */
internal class Place(
    val name: String,
    val address: Address,
    val path: String,
    val callers: Int,
    val maxBodyBytes: Int,
    val maxHeaderBytes: Int
)

/**
 * One kind of load, sent to a gateway entry and to a relay.
 *
 * A load guards against a process that ends, hangs or runs out of memory, and against requests of
 * other callers that are no longer answered. Connections stay open while this is checked.
 */
internal abstract class CallerLoad(
    private val idleTimeout: Duration = 15.seconds,
    private val longBytes: Int = 200_000,
    private val pause: Duration = Duration.ZERO
) {
    /** What each caller sends to [place]. */
    abstract fun pieces(place: Place): Sequence<ByteBuffer>

    /** Number of callers at [place]. */
    open fun callers(place: Place): Int = place.callers

    @Test
    fun entry() {
        LoadedEntry(name(), longBytes, idleTimeout).use { entry ->
            val places = listOf(
                Place("route", entry.callers, "/s/long", CALLERS, BODY_BYTES, HEADER_BYTES),
                Place("no route", entry.callers, "/none", CALLERS, BODY_BYTES, HEADER_BYTES),
                Place("readiness", entry.readiness, "/ready", MANY_CALLERS, 65_000, 8_000)
            )
            val failures = places.mapNotNull { place ->
                load(place).use { runCatching { entry.verify(place.name) }.exceptionOrNull() }
            }
            check(failures.isEmpty()) { failures.joinToString("\n") { it.message.orEmpty() } }
        }
    }

    @Test
    fun relay() {
        LoadedRelay(name()).use { relay ->
            val place =
                Place("relay", relay.callers, "/long", MANY_CALLERS, BODY_BYTES, HEADER_BYTES)
            load(place).use { relay.verify() }
        }
    }

    private fun load(place: Place): LoadCallers {
        val load = LoadCallers(place.address, callers(place), pause) { pieces(place).iterator() }
        load.awaitSent(SENDING_TIME)
        return load
    }

    private fun name(): String = checkNotNull(this::class.simpleName)

    protected fun post(place: Place, vararg headers: String): ByteBuffer {
        val target = if (place.name == "relay") "/stalled" else place.path
        val lines = listOf("POST $target HTTP/1.1", "Host: h.example") + headers
        return piece(lines.joinToString("\r\n", postfix = "\r\n\r\n"))
    }

    protected fun get(place: Place): String =
        "GET ${place.path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: load\r\n\r\n"

    protected companion object {
        /** Fewer than the connections that the entry's settings allow callers. */
        const val CALLERS = 110

        /** More than the connections that a process can serve. */
        const val MANY_CALLERS = 300
        const val BODY_BYTES = LoadedEntry.MAX_BODY_BYTES
        const val HEADER_BYTES = 16_000
        val SENDING_TIME = 1_500.milliseconds
    }
}
