package org.shallotplank.wire

import kotlinx.serialization.BinaryFormat
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Version of the protocol between processes; both sides of a connection must use the same one. */
public const val PROTOCOL_VERSION: Int = 1

/** Maximum size of a frame that is sent or received, in bytes. */
public const val MAX_FRAME_BYTES: Int = 2 * 1024 * 1024

/** Serialization format of frames and of the messages in them; size measurements use it too. */
@OptIn(ExperimentalSerializationApi::class)
public val frameFormat: BinaryFormat = Cbor {
    alwaysUseByteString = true
    ignoreUnknownKeys = true
    encodeDefaults = false
}

/** Encodes frames to CBOR and decodes them. */
@OptIn(ExperimentalSerializationApi::class)
internal object FrameCodec {
    fun encode(frame: Frame): ByteArray = frameFormat.encodeToByteArray<Frame>(frame)

    /** Decodes [bytes]; throws [ProtocolException] if they are not a valid frame. */
    fun decode(bytes: ByteArray): Frame = try {
        frameFormat.decodeFromByteArray<Frame>(bytes)
    } catch (e: SerializationException) {
        throw ProtocolException("expected a valid CBOR frame", e)
    } catch (e: IllegalArgumentException) {
        throw ProtocolException("expected a CBOR frame, found a value out of its range", e)
    }
}
