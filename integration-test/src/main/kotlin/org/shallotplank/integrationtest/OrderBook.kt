package org.shallotplank.integrationtest

/** Orders that an engine executed; with [checksFencing] it refuses old fencing numbers. */
internal class OrderBook(private val checksFencing: Boolean) {
    private val accepted = mutableListOf<Order>()
    private var highestFencing = 0L

    /** Executes [order] and returns null, or returns the refusal. */
    @Synchronized
    fun accept(order: Order): StaleOrder? {
        if (checksFencing && order.fencing < highestFencing) return StaleOrder(highestFencing)
        highestFencing = maxOf(highestFencing, order.fencing)
        accepted += order
        return null
    }

    /** All orders that took effect, oldest first. */
    @Synchronized
    fun log(): OrderLog = OrderLog(accepted.toList())
}
