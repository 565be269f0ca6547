package org.shallotplank.integrationtest

import java.security.MessageDigest

/** SHA-256 of [bytes] in lower-case hexadecimal. */
internal fun sha256(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).toHexString()
