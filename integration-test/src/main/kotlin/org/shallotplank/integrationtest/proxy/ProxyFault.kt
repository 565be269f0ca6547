package org.shallotplank.integrationtest.proxy

import kotlin.time.Duration

/** Direction in which bytes pass the proxy. */
internal enum class Direction {
    TO_TARGET,
    TO_CALLER
}

/** A network fault that a [FaultProxy] can inject. */
internal sealed interface ProxyFault {
    /** Resets every open connection at both ends, once; new connections are unaffected. */
    data object ResetConnections : ProxyFault

    /** Closes every open connection at both ends, once; new connections are unaffected. */
    data object CloseConnections : ProxyFault

    /**
     * Silences every open connection permanently, once; new connections are unaffected.
     *
     * Neither bytes nor a close are forwarded, as if a device on the path had lost its state.
     */
    data object SilenceConnections : ProxyFault

    /** Refuses new connections; open ones are unaffected. */
    data object RefuseConnections : ProxyFault

    /** Drops all bytes in [direction], also on connections that are opened later. */
    data class DropBytes(val direction: Direction) : ProxyFault

    /** Delays each chunk of bytes in [direction] by [time]. */
    data class Delay(val direction: Direction, val time: Duration) : ProxyFault

    /** Writes chunks of at most [chunkBytes] in both directions and waits [pause] after each. */
    data class Throttle(val chunkBytes: Int, val pause: Duration) : ProxyFault
}
