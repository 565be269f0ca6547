package org.shallotplank.gateway

import org.shallotplank.core.RequestId
import org.shallotplank.gateway.caller.CallerConnection

/**
 * The exchanges whose request has arrived and not ended.
 *
 * @param onEnded called at the end of each.
 */
internal class OpenExchanges(private val onEnded: (RequestOutcome, Exchange) -> Unit) {
    private val exchanges = LinkedHashMap<RequestId, Exchange>()
    private val byConnection = HashMap<CallerConnection, Exchange>()

    val size: Int get() = exchanges.size

    /** All open exchanges, in the order of their arrival. */
    val all: List<Exchange> get() = exchanges.values.toList()

    operator fun get(id: RequestId): Exchange? = exchanges[id]

    /** The exchange whose request came on [connection], null if it has ended. */
    fun of(connection: CallerConnection): Exchange? = byConnection[connection]

    fun add(exchange: Exchange) {
        exchanges[exchange.id] = exchange
        byConnection[exchange.connection] = exchange
    }

    /** Ends the exchange [id] with [outcome] and frees what it holds, unless it has ended. */
    fun finish(id: RequestId, outcome: RequestOutcome) {
        val exchange = exchanges.remove(id) ?: return
        byConnection.remove(exchange.connection, exchange)
        onEnded(outcome, exchange)
        exchange.attempt?.cancel()
        exchange.release()
    }
}
