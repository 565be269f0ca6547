package org.shallotplank.wire

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.network.sockets.port
import io.ktor.utils.io.readByte
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.io.IOException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.RequestId
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.call.Payload

class FrameConnectionTest {
    private val selector = SelectorManager(Dispatchers.IO)
    private val key = ClusterKey(ByteArray(32) { 7 })
    private val entry = PeerIdentity(InstanceId("entry-1"), InstanceRole.ENTRY)
    private val agent = PeerIdentity(InstanceId("engine-1"), InstanceRole.UPSTREAM)

    @AfterTest
    fun closeSelector() = selector.close()

    private suspend fun listen(): ServerSocket = aSocket(selector).tcp().bind("127.0.0.1", 0)

    private suspend fun dial(server: ServerSocket) =
        aSocket(selector).tcp().connect(InetSocketAddress("127.0.0.1", server.port))

    private fun CoroutineScope.acceptOne(server: ServerSocket): Deferred<Result<FrameConnection>> =
        async { runCatching { FrameConnection.accept(server.accept(), agent, key) } }

    @Nested
    inner class Handshake {
        @Test
        fun `gives each side the identity of its peer`() = runBlocking {
            listen().use { server ->
                val accepted = acceptOne(server)
                val connection = FrameConnection.connect(dial(server), entry, key)
                assertEquals(agent, connection.peer)
                assertEquals(entry, accepted.await().getOrThrow().peer)
            }
        }

        @Test
        fun `refuses a peer with another key`() = runBlocking<Unit> {
            listen().use { server ->
                val accepted = acceptOne(server)
                val other = ClusterKey(ByteArray(32) { 8 })
                assertFailsWith<IOException> {
                    FrameConnection.connect(dial(server), entry, other)
                }
                assertFailsWith<AuthenticationException> { accepted.await().getOrThrow() }
            }
        }

        @Test
        fun `refuses a hello above the size limit`() = runBlocking<Unit> {
            listen().use { server ->
                val accepted = acceptOne(server)
                dial(server).use { socket ->
                    val output = socket.openWriteChannel()
                    output.writeInt(Int.MAX_VALUE)
                    output.flush()
                    assertFailsWith<ProtocolException> { accepted.await().getOrThrow() }
                }
            }
        }
    }

    @Nested
    inner class Frames {
        @Test
        fun `arrive as they were sent`() = runBlocking {
            listen().use { server ->
                val accepted = acceptOne(server)
                val connection = FrameConnection.connect(dial(server), entry, key)
                val chunk = AttemptReply.Chunk(3, eventId = 9, Payload("né".encodeToByteArray()))
                val sent = Frame.Reply(RequestId("r"), AttemptId("a"), chunk)
                accepted.await().getOrThrow().send(sent)
                assertEquals(sent, connection.receive())
            }
        }

        @Test
        fun `that are forged after the handshake break the connection`() = runBlocking<Unit> {
            listen().use { server ->
                listen().use { front ->
                    val accepted = acceptOne(server)
                    val forger = async { forgeAfterHandshake(front, server) }
                    FrameConnection.connect(dial(front), entry, key).use {
                        val receiver = accepted.await().getOrThrow()
                        assertFailsWith<ProtocolException> { receiver.receive() }
                    }
                    forger.cancel()
                }
            }
        }
    }

    /** Relays both handshake frames of each side, then sends a frame with a false code. */
    private suspend fun forgeAfterHandshake(front: ServerSocket, server: ServerSocket) {
        val client = front.accept()
        val target = dial(server)
        val clientIn = client.openReadChannel()
        val targetIn = target.openReadChannel()
        val clientOut = client.openWriteChannel(autoFlush = true)
        val targetOut = target.openWriteChannel(autoFlush = true)
        repeat(2) {
            targetOut.writeFully(clientIn.readWholeFrame())
            targetOut.flush()
            clientOut.writeFully(targetIn.readWholeFrame())
            clientOut.flush()
        }
        val body = FrameCodec.encode(Frame.Ping(1))
        targetOut.writeInt(body.size)
        targetOut.writeFully(body + ByteArray(FRAME_MAC_BYTES))
        targetOut.flush()
    }

    private suspend fun io.ktor.utils.io.ByteReadChannel.readWholeFrame(): ByteArray {
        val length = ByteArray(4) { readByte() }
        val size = java.nio.ByteBuffer.wrap(length).int
        return length + ByteArray(size) { readByte() }
    }
}
