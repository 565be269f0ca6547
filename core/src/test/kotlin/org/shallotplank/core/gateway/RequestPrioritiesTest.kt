package org.shallotplank.core.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.junit.jupiter.api.Nested
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.CustomerName
import org.shallotplank.core.ServiceName
import org.shallotplank.core.config.Priority

class RequestPrioritiesTest {
    private val service = ServiceName("s")

    private fun route(priority: Int, isOpen: Boolean = false) = Route(
        name = "r$priority",
        host = "h",
        pathPrefix = "/$priority/",
        kind = RequestKind.STREAM,
        targets = persistentListOf(RouteTarget(service, 1)),
        timeout = 8.seconds,
        goal = 1.seconds,
        priority = priority,
        isOpen = isOpen
    )

    private fun holder(priority: Int?) = CredentialHolder(CustomerName("c$priority"), priority)

    private fun table(routes: List<Route>, customers: List<Int?>) = RouteTable(
        version = ConfigurationVersion(1),
        routes = routes.toPersistentList(),
        services = persistentMapOf(),
        customersByCredential = customers.associate { "key-$it" to holder(it) }.toPersistentMap(),
        requiresCredentials = true
    )

    private fun RouteTable.admissionOf(routePriority: Int, customer: Int?) =
        priorityOf(route(routePriority), holder(customer), service).admission

    /**
     * Guards against a more urgent kind that is refused most often: the priority that all customers
     * have in common replaced that of the routes.
     */
    @Nested
    inner class CustomersOfOnePriority {
        private val table = table(listOf(route(0), route(1), route(2)), listOf(1))

        @Test
        fun `leave the order to the routes`() {
            assertEquals(
                listOf(Priority.ORDER, Priority.INTERACTIVE, Priority.BACKGROUND),
                listOf(0, 1, 2).map { table.admissionOf(it, customer = 1) }
            )
            assertTrue(service in table.servicesOfSeveralPriorities)
        }

        @Test
        fun `and routes of one priority make one class of requests`() {
            val table = table(listOf(route(2)), listOf(1))
            assertEquals(emptySet(), table.servicesOfSeveralPriorities)
            // Engines get the same number from entries of earlier builds.
            assertEquals(1, table.priorityOf(route(2), holder(1), service).level)
        }
    }

    @Nested
    inner class CustomersOfDifferentPriorities {
        @Test
        fun `go before their routes`() {
            val table = table(listOf(route(0), route(1), route(2)), listOf(0, 1, 2))
            assertEquals(Priority.ORDER, table.admissionOf(routePriority = 2, customer = 0))
            assertEquals(Priority.BACKGROUND, table.admissionOf(routePriority = 0, customer = 2))
        }

        @Test
        fun `differ on one route`() {
            val table = table(listOf(route(1)), listOf(0, null))
            assertEquals(Priority.ORDER, table.admissionOf(1, customer = 0))
            assertEquals(Priority.INTERACTIVE, table.admissionOf(1, customer = null))
            assertTrue(service in table.servicesOfSeveralPriorities)
        }
    }
}
