package org.shallotplank.bench

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.shallotplank.core.dissemination.PeerMessage
import org.shallotplank.wire.Frame
import org.shallotplank.wire.frameFormat

/** Encodes and decodes messages as CBOR; a connection adds [OVERHEAD_BYTES] to each. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCodec {
    /** Bytes of length, authentication code, frame around the message, and TCP/IP headers. */
    const val OVERHEAD_BYTES = 4 + 16 + 20 + 52

    fun encode(message: PeerMessage): ByteArray = frameFormat.encodeToByteArray(message)

    fun decode(bytes: ByteArray): PeerMessage = frameFormat.decodeFromByteArray(bytes)

    fun encode(frame: Frame): ByteArray = frameFormat.encodeToByteArray(frame)

    fun decodeFrame(bytes: ByteArray): Frame = frameFormat.decodeFromByteArray(bytes)
}
