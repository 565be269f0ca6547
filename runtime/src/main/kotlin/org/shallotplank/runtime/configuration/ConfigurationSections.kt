package org.shallotplank.runtime.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.ServiceName
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.Customer
import org.shallotplank.core.config.Service
import org.shallotplank.core.config.ZoneSettings
import org.shallotplank.core.dissemination.Manifest
import org.shallotplank.core.dissemination.Section
import org.shallotplank.core.dissemination.SectionName
import org.shallotplank.core.dissemination.Sha256

/** A section with its content. */
internal data class SectionContent(val section: Section, val content: String)

/**
 * Splits a configuration into sections and joins sections to a configuration.
 *
 * Each service has its own section and all zones share one. Customers are distributed over a fixed
 * number of sections by a hash of their name, so that a change of one customer changes one section.
 */
internal object ConfigurationSections {
    private val zonesName = SectionName("zones")
    private val json = Json { ignoreUnknownKeys = true }

    /** Name of the section that holds [service]. */
    fun serviceSection(service: ServiceName): SectionName = SectionName("$SERVICE_PREFIX$service")

    /** Whether an agent of [service] needs the section [name]. */
    fun isNeededByAgent(name: SectionName, service: ServiceName): Boolean =
        name == zonesName || name == serviceSection(service)

    fun split(configuration: Configuration): PersistentList<SectionContent> {
        val zones = json.encodeToString(
            ListSerializer(ZoneSettings.serializer()),
            configuration.zones
        )
        val services = configuration.services.map {
            content(serviceSection(it.name), json.encodeToString(it))
        }
        val customers = configuration.customers
            .groupBy { it.name.value.hashCode().mod(CUSTOMER_SECTIONS) }
            .map { (shard, members) ->
                content(SectionName("$CUSTOMERS_PREFIX$shard"), encodeCustomers(members))
            }
        return (listOf(content(zonesName, zones)) + services + customers)
            .sortedBy { it.section.name.value }
            .toPersistentList()
    }

    /** Builds the configuration from [contents]; it lacks what missing sections would hold. */
    fun join(version: ConfigurationVersion, contents: Map<SectionName, String>): Configuration {
        val services = contents.filterKeys { it.value.startsWith(SERVICE_PREFIX) }.values
            .map { json.decodeFromString<Service>(it) }
            .sortedBy { it.name.value }
        val customers = contents.filterKeys { it.value.startsWith(CUSTOMERS_PREFIX) }.values
            .flatMap { json.decodeFromString(ListSerializer(Customer.serializer()), it) }
            .sortedBy { it.name.value }
        val zones = contents[zonesName].orEmpty().ifEmpty { "[]" }
        return Configuration(
            version = version,
            zones = json.decodeFromString(ListSerializer(ZoneSettings.serializer()), zones)
                .toPersistentList(),
            services = services.toPersistentList(),
            customers = customers.toPersistentList()
        )
    }

    /** Returns the manifest that lists [sections] as [version]. */
    fun manifest(version: ConfigurationVersion, sections: List<SectionContent>): Manifest =
        Manifest(version, sections.map { it.section }.toPersistentList())

    private fun encodeCustomers(customers: List<Customer>): String = json.encodeToString(
        ListSerializer(Customer.serializer()),
        customers.sortedBy { it.name.value }
    )

    private fun content(name: SectionName, text: String) = SectionContent(
        Section(name, Sha256.of(text), text.encodeToByteArray().size),
        text
    )

    private const val SERVICE_PREFIX = "service/"
    private const val CUSTOMERS_PREFIX = "customers/"
    private const val CUSTOMER_SECTIONS = 192
}
