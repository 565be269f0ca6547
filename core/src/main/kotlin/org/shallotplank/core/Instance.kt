package org.shallotplank.core

import kotlinx.serialization.Serializable

/** Role of an instance in the platform's list. */
@Serializable
public enum class InstanceRole {
    /** An entry, the process that callers connect to. */
    ENTRY,

    /** An upstream together with its agent. */
    UPSTREAM
}

/** Whether the platform expects an instance to keep running. */
@Serializable
public enum class InstanceState {
    LIVE,
    LEAVING
}

/** An IP address and a TCP port. */
@Serializable
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_PART = 255
        private const val IPV4_PARTS = 4

        /** Parses an IPv4 address and port such as `10.0.0.1:8080`; returns null for other text. */
        public fun parseOrNull(text: String): Address? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = parseNumber(text.substringAfterLast(':'))?.takeIf { it in 1..MAX_PORT }
            val parts = host.split('.').map { parseNumber(it) }
            val isNumber = parts.size == IPV4_PARTS && parts.all { it in 0..MAX_PART }
            return if (port != null && isNumber) Address(host, port) else null
        }

        /** Unlike [toIntOrNull], accepts no sign, which would make the host a name to look up. */
        private fun parseNumber(text: String): Int? =
            text.toIntOrNull()?.takeIf { text.all { digit -> digit in '0'..'9' } }
    }
}

/** One row of the platform's instance list; the list may be out of date. */
@Serializable
public data class Instance(
    val id: InstanceId,
    val role: InstanceRole,
    val zone: ZoneName,
    val region: String,
    /** Address that other instances connect to: the upstream's agent, or the entry itself. */
    val address: Address,
    /** The service that an upstream runs; null for entries. */
    val service: ServiceName? = null,
    /** Address at which callers connect to an entry; null for upstreams. */
    val publicAddress: Address? = null,
    val state: InstanceState = InstanceState.LIVE
)
