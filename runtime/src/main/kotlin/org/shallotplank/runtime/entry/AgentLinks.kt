package org.shallotplank.runtime.entry

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.ClosedReceiveChannelException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.runtime.link.FrameLink
import org.shallotplank.runtime.log.LogWriter
import org.shallotplank.wire.AuthenticationException
import org.shallotplank.wire.ClusterKey
import org.shallotplank.wire.Frame
import org.shallotplank.wire.FrameConnection
import org.shallotplank.wire.PeerIdentity

/** Callbacks for the connections from an entry to agents. */
internal class AgentLinkListener(
    val onConnected: suspend (InstanceId) -> Unit,
    val onDisconnected: suspend (InstanceId) -> Unit,
    val onFrame: suspend (InstanceId, Frame) -> Unit
)

/** Maintains one connection to each agent and reconnects with backoff after a loss. */
internal class AgentLinks(
    private val self: PeerIdentity,
    private val key: ClusterKey,
    private val scope: CoroutineScope,
    private val random: Random,
    private val log: LogWriter,
    private val listener: AgentLinkListener
) {
    private val selector = SelectorManager(Dispatchers.IO)
    private val connectionJobs = ConcurrentHashMap<InstanceId, Job>()
    private val links = ConcurrentHashMap<InstanceId, FrameLink>()

    /** Ids of the instances whose agents are connected. */
    val connected: Set<InstanceId> get() = links.keys

    /** Maintains a connection to the agent of [instance] at [address]; replaces an earlier one. */
    fun connect(instance: InstanceId, address: Address) {
        connectionJobs.put(instance, scope.launch { maintain(instance, address) })?.cancel()
    }

    /** Closes the connection to [instance] and stops reconnecting. */
    fun disconnect(instance: InstanceId) {
        connectionJobs.remove(instance)?.cancel()
    }

    /** Queues [frame]; returns false when no byte of it will be sent. */
    fun send(instance: InstanceId, frame: Frame): Boolean = links[instance]?.send(frame) ?: false

    fun close() {
        connectionJobs.values.forEach { it.cancel() }
    }

    private suspend fun maintain(instance: InstanceId, address: Address) {
        var backoff = FIRST_BACKOFF
        while (true) {
            val connection = dial(instance, address)
            if (connection != null) {
                backoff = FIRST_BACKOFF
                serve(instance, connection)
            }
            delay(backoff * random.nextDouble(MIN_JITTER, 1.0))
            backoff = minOf(backoff * 2, MAX_BACKOFF)
        }
    }

    private suspend fun serve(instance: InstanceId, connection: FrameConnection) {
        val link = FrameLink(connection)
        links[instance] = link
        listener.onConnected(instance)
        try {
            link.run { listener.onFrame(instance, it) }
        } finally {
            link.close()
            links.remove(instance, link)
            scope.launch { listener.onDisconnected(instance) }.join()
        }
    }

    /** Returns null when the agent cannot be reached, is not authenticated or is not [instance]. */
    private suspend fun dial(instance: InstanceId, address: Address): FrameConnection? = try {
        val socket = withTimeout(CONNECT_TIMEOUT) {
            aSocket(selector).tcp().connect(InetSocketAddress(address.host, address.port))
        }
        val connection = FrameConnection.connect(socket, self, key)
        if (connection.peer.id == instance) {
            connection
        } else {
            connection.close()
            logRefused(instance, "expected instance $instance, found ${connection.peer.id}")
            null
        }
    } catch (e: AuthenticationException) {
        logRefused(instance, e.message)
        null
    } catch (e: IOException) {
        null
    } catch (e: TimeoutCancellationException) {
        null
    } catch (e: ClosedReceiveChannelException) {
        null
    }

    private fun logRefused(instance: InstanceId, error: String?) {
        log(logRecord(LogEvent.AUTHENTICATION_FAILED, "instance" to instance, "error" to error))
    }

    private companion object {
        val CONNECT_TIMEOUT: Duration = 1.seconds
        val FIRST_BACKOFF: Duration = 100.milliseconds
        val MAX_BACKOFF: Duration = 2.seconds
        const val MIN_JITTER = 0.5
    }
}
