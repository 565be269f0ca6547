package org.shallotplank.wire

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.security.MessageDigest
import java.security.SecureRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.call.Payload

/** Identity that a process presents to its peers in the handshake. */
public data class PeerIdentity(val id: InstanceId, val role: InstanceRole)

/**
 * An authenticated connection that carries frames in both directions.
 *
 * On the socket, a frame consists of its length in bytes (32 bits, big endian), its CBOR encoding
 * and its authentication code. [send] may be called from several coroutines, [receive] from one.
 */
public class FrameConnection private constructor(
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    /** The process on the other side. */
    public val peer: PeerIdentity,
    private val inputMac: FrameMac,
    private val outputMac: FrameMac
) : AutoCloseable {
    private val sending = Mutex()

    /** Sends [frame]; throws an IOException if the connection is broken. */
    public suspend fun send(frame: Frame) {
        val body = FrameCodec.encode(frame)
        sending.withLock {
            output.writeBody(body)
            output.writeFully(outputMac.next(body))
            output.flush()
        }
    }

    /**
     * Waits for the next frame.
     *
     * Throws [ProtocolException] if the received bytes are not a valid, authenticated frame, and
     * another IOException if the connection is closed.
     */
    public suspend fun receive(): Frame {
        val body = input.readBody()
        val code = ByteArray(FRAME_MAC_BYTES)
        input.readFully(code)
        if (!MessageDigest.isEqual(code, inputMac.next(body))) {
            throw ProtocolException("the authentication code does not match the frame")
        }
        return FrameCodec.decode(body)
    }

    override fun close(): Unit = socket.close()

    public companion object {
        /**
         * Runs the handshake as the side that connected.
         *
         * Closes [socket] and throws [AuthenticationException] if the peer does not have the key
         * or uses another version of the protocol.
         */
        public suspend fun connect(
            socket: Socket,
            self: PeerIdentity,
            key: ClusterKey,
            timeout: Duration = HANDSHAKE_TIMEOUT
        ): FrameConnection = handshake(socket, self, key, Side.CONNECTOR, timeout)

        /** Runs the handshake as the side that accepted the connection; see [connect]. */
        public suspend fun accept(
            socket: Socket,
            self: PeerIdentity,
            key: ClusterKey,
            timeout: Duration = HANDSHAKE_TIMEOUT
        ): FrameConnection = handshake(socket, self, key, Side.ACCEPTOR, timeout)

        private suspend fun handshake(
            socket: Socket,
            self: PeerIdentity,
            key: ClusterKey,
            side: Side,
            timeout: Duration
        ): FrameConnection = try {
            withTimeout(timeout) { exchange(socket, self, key, side) }
        } catch (e: Throwable) {
            socket.close()
            throw e
        }

        private suspend fun exchange(
            socket: Socket,
            self: PeerIdentity,
            key: ClusterKey,
            side: Side
        ): FrameConnection {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel()
            val ownHello = helloOf(self)
            output.writeBody(ownHello)
            output.flush()
            val peerHello = input.readBody(MAX_HELLO_BYTES)
            val peer = checkHello(FrameCodec.decode(peerHello))
            val keys = when (side) {
                Side.CONNECTOR -> SessionKeys(key, ownHello, peerHello)
                Side.ACCEPTOR -> SessionKeys(key, peerHello, ownHello)
            }
            val other = if (side == Side.CONNECTOR) Side.ACCEPTOR else Side.CONNECTOR
            output.writeBody(FrameCodec.encode(Frame.Proof(Payload(keys.proof(side)))))
            output.flush()
            checkProof(FrameCodec.decode(input.readBody(MAX_HELLO_BYTES)), keys.proof(other))
            return FrameConnection(
                socket = socket,
                input = input,
                output = output,
                peer = peer,
                inputMac = keys.frameMac(other),
                outputMac = keys.frameMac(side)
            )
        }

        private fun helloOf(self: PeerIdentity): ByteArray {
            val nonce = ByteArray(NONCE_BYTES).also(SecureRandom()::nextBytes)
            return FrameCodec.encode(
                Frame.Hello(PROTOCOL_VERSION, self.id, self.role, Payload(nonce))
            )
        }

        private fun checkHello(frame: Frame): PeerIdentity {
            if (frame !is Frame.Hello) throw AuthenticationException("expected a hello frame")
            if (frame.protocolVersion != PROTOCOL_VERSION) {
                throw AuthenticationException(
                    "expected protocol version $PROTOCOL_VERSION, found ${frame.protocolVersion}"
                )
            }
            return PeerIdentity(frame.sender, frame.role)
        }

        private fun checkProof(frame: Frame, expected: ByteArray) {
            val isValid = frame is Frame.Proof && MessageDigest.isEqual(frame.mac.bytes, expected)
            if (!isValid) throw AuthenticationException("the peer does not know the cluster key")
        }

        private const val NONCE_BYTES = 32
        private const val MAX_HELLO_BYTES = 4096
        private val HANDSHAKE_TIMEOUT = 3.seconds
    }
}

private suspend fun ByteWriteChannel.writeBody(body: ByteArray) {
    if (body.size > MAX_FRAME_BYTES) {
        throw ProtocolException(
            "expected a frame of at most $MAX_FRAME_BYTES bytes, " +
                "found ${body.size}"
        )
    }
    writeInt(body.size)
    writeFully(body)
}

private suspend fun ByteReadChannel.readBody(maxBytes: Int = MAX_FRAME_BYTES): ByteArray {
    val sizeBytes = readInt()
    if (sizeBytes !in 1..maxBytes) {
        throw ProtocolException("expected a frame of 1 to $maxBytes bytes, found $sizeBytes")
    }
    return ByteArray(sizeBytes).also { readFully(it) }
}
