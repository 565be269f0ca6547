package org.shallotplank.integrationtest

import java.io.InputStream
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runInterruptible

/** One server-sent event. */
internal data class ServerSentEvent(val id: Int?, val name: String?, val data: String)

/** Streamed answer of server-sent events; closing it closes the connection. */
internal class EventStream(
    val status: Int,
    /** First value of each header by lower-case name. */
    val headers: Map<String, String>,
    private val body: InputStream
) : AutoCloseable {
    private val reader = body.bufferedReader()

    /** Waits for the next event; returns null at the end of the answer, throws if it is cut off. */
    suspend fun next(): ServerSentEvent? {
        val lines = mutableListOf<String>()
        while (true) {
            val line = runInterruptible(Dispatchers.IO) { reader.readLine() } ?: return null
            if (line.isEmpty()) return event(lines)
            lines += line
        }
    }

    /** Reads the rest of the answer as text, such as a problem document. */
    suspend fun text(): String = runInterruptible(Dispatchers.IO) { reader.readText() }

    override fun close(): Unit = body.close()

    private fun event(lines: List<String>): ServerSentEvent {
        val fields = lines.associate { it.substringBefore(": ") to it.substringAfter(": ", "") }
        return ServerSentEvent(fields["id"]?.toInt(), fields["event"], fields["data"].orEmpty())
    }
}
