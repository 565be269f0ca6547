package org.shallotplank.wire

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Secret shared by all processes of one installation. */
public class ClusterKey(private val bytes: ByteArray) {
    init {
        require(bytes.size >= MIN_KEY_BYTES) {
            "expected a cluster key of at least $MIN_KEY_BYTES bytes, found ${bytes.size}"
        }
    }

    internal fun mac(): Mac = newMac(bytes)

    override fun toString(): String = "ClusterKey(hidden)"

    private companion object {
        const val MIN_KEY_BYTES = 32
    }
}

/** Side of a connection: the process that opened it, or the one that accepted it. */
internal enum class Side { CONNECTOR, ACCEPTOR }

/**
 * Keys of one connection, derived from the cluster key and the hellos of both sides.
 *
 * Each direction has its own key, and each authentication code covers the sequence number of its
 * frame. Frames therefore cannot be forged, replayed, reordered or moved to another connection.
 */
internal class SessionKeys(
    clusterKey: ClusterKey,
    connectorHello: ByteArray,
    acceptorHello: ByteArray
) {
    private val transcript = MessageDigest.getInstance("SHA-256").run {
        update(connectorHello)
        digest(acceptorHello)
    }
    private val root = clusterKey.mac().doFinal(transcript)

    /** Proof that [side] has the cluster key. */
    fun proof(side: Side): ByteArray =
        newMac(root).doFinal("proof-${side.name}".encodeToByteArray())

    /** Computes the authentication codes of the frames that [side] sends. */
    fun frameMac(side: Side): FrameMac {
        val key = newMac(root).doFinal("frames-${side.name}".encodeToByteArray())
        return FrameMac(newMac(key))
    }
}

/** Computes the authentication codes of the frames of one direction, in order. */
internal class FrameMac(private val mac: Mac) {
    private var position = 0L

    /** Authentication code of the next frame, whose encoded form is [body]. */
    fun next(body: ByteArray): ByteArray {
        repeat(Long.SIZE_BYTES) { mac.update((position ushr (it * Byte.SIZE_BITS)).toByte()) }
        position += 1
        return mac.doFinal(body).copyOf(FRAME_MAC_BYTES)
    }
}

/** Length of the authentication code after each frame, in bytes. */
internal const val FRAME_MAC_BYTES: Int = 16

private fun newMac(key: ByteArray): Mac =
    Mac.getInstance("HmacSHA256").apply { init(SecretKeySpec(key, "HmacSHA256")) }
