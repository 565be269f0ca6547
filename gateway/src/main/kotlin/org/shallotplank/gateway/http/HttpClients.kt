package org.shallotplank.gateway.http

import io.netty.channel.EventLoopGroup
import org.shallotplank.core.Address
import org.shallotplank.gateway.budget.MessageMemory

/**
 * Makes clients on the event loop of [group] whose answers count in [memory], if there is one.
 */
public class HttpClients(
    private val group: EventLoopGroup,
    private val memory: MessageMemory? = null
) {
    /** Returns a client for calls to [address]. */
    public fun to(address: Address): HttpClient = HttpClient(group, address, memory)
}
