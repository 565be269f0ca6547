package org.shallotplank.core

import kotlinx.serialization.Serializable

/** What an instance of the platform's list is there for. */
@Serializable
public enum class InstanceRole {
    /** A process of the system that callers connect to. */
    ENTRY,

    /** An upstream with the agent beside it. */
    UPSTREAM
}

/** Whether the platform expects an instance to stay. */
@Serializable
public enum class InstanceState {
    LIVE,
    LEAVING
}

/** A TCP address by IP number. */
@Serializable
public data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    public companion object {
        private const val MAX_PORT = 65_535
        private const val MAX_PART = 255
        private const val IPV4_PARTS = 4

        /** Reads an IPv4 number and port such as `10.0.0.1:8080`, or returns null. */
        public fun parseOrNull(text: String): Address? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull()?.takeIf { it in 1..MAX_PORT }
            val parts = host.split('.').map { it.toIntOrNull() }
            val isNumber = parts.size == IPV4_PARTS && parts.all { it in 0..MAX_PART }
            return if (port != null && isNumber) Address(host, port) else null
        }
    }
}

/** One line of the platform's instance list, which may lag behind the truth. */
@Serializable
public data class Instance(
    val id: InstanceId,
    val role: InstanceRole,
    val zone: ZoneName,
    val region: String,
    /** Where peers reach the process: the agent of an upstream, or the entry itself. */
    val address: Address,
    /** The service that an upstream runs; null for entries. */
    val service: ServiceName? = null,
    /** Where callers reach an entry; null for upstreams. */
    val publicAddress: Address? = null,
    val state: InstanceState = InstanceState.LIVE
)
