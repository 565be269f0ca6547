package org.shallotplank.core.execution

import java.security.MessageDigest
import org.shallotplank.core.CustomerName
import org.shallotplank.core.ServiceName

/** Key of an [ExecutionRecord] in the platform's table. */
@JvmInline
public value class RecordKey internal constructor(public val value: String) {
    override fun toString(): String = value

    public companion object {
        /** The key of [idempotencyKey], which is hashed so that it may hold any characters. */
        public fun of(
            service: ServiceName,
            customer: CustomerName,
            idempotencyKey: String
        ): RecordKey = RecordKey("execution.$service.$customer.${sha256Hex(idempotencyKey)}")
    }
}

/** SHA-256 of [text] in lower-case hexadecimal. */
public fun sha256Hex(text: String): String = sha256Hex(text.encodeToByteArray())

/** SHA-256 of [bytes] in lower-case hexadecimal. */
public fun sha256Hex(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).toHexString()
