package org.shallotplank.core.call

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ByteArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Bytes of a body, compared by content; callers must not change the array afterwards. */
@Serializable(with = PayloadSerializer::class)
public class Payload(public val bytes: ByteArray) {
    /** Number of bytes. */
    public val sizeBytes: Int get() = bytes.size

    override fun equals(other: Any?): Boolean = other is Payload && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()

    override fun toString(): String = "Payload($sizeBytes bytes)"

    public companion object {
        /** A payload without bytes. */
        public val Empty: Payload = Payload(ByteArray(0))
    }
}

/** Concatenates the payloads. */
internal fun List<Payload>.joined(): Payload {
    val whole = ByteArray(sumOf { it.sizeBytes })
    var at = 0
    for (part in this) {
        part.bytes.copyInto(whole, at)
        at += part.sizeBytes
    }
    return Payload(whole)
}

internal object PayloadSerializer : KSerializer<Payload> {
    private val delegate = ByteArraySerializer()

    override val descriptor: SerialDescriptor =
        SerialDescriptor("org.shallotplank.core.call.Payload", delegate.descriptor)

    override fun serialize(encoder: Encoder, value: Payload) =
        encoder.encodeSerializableValue(delegate, value.bytes)

    override fun deserialize(decoder: Decoder): Payload =
        Payload(decoder.decodeSerializableValue(delegate))
}
