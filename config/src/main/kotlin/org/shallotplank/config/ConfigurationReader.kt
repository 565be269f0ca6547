package org.shallotplank.config

import arrow.core.raise.nullable
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.Service

private const val ZONES_FILE = "zones.toml"
private const val CUSTOMERS_FILE = "customers.toml"

/**
 * Reads [sources], the service files with the zones and customers files, into one configuration.
 *
 * The table `[service]`, `[[zones]]` or `[[customers]]` determines the kind of a file. All findings
 * are reported together, and any finding rejects the whole configuration. The result has no version
 * yet; publishing assigns one. If [complete] is false, as for checking single files, zones,
 * customers and services may be absent; a configuration to be put in force must be complete.
 */
public fun readConfiguration(
    sources: List<SourceFile>,
    complete: Boolean = true
): Reading<Configuration> = readConfiguration(sources, complete, FindingCollector())

/** Reads [sources] and reports their findings together with those already in [findings]. */
internal fun readConfiguration(
    sources: List<SourceFile>,
    complete: Boolean,
    findings: FindingCollector
): Reading<Configuration> {
    val reader = ConfigurationReader(findings)
    sources.sortedBy { it.path }.forEach(reader::read)
    reader.checkDuplicates()
    reader.checkZonesInService()
    if (complete) reader.checkComplete()
    return findings.conclude(reader::configuration)
}

private class ConfigurationReader(private val findings: FindingCollector) {
    private val zones = mutableListOf<ZoneReading>()
    private val customers = mutableListOf<CustomerReading>()
    private val services = mutableListOf<ServiceDocument>()
    private var hasUnreadableFile = false

    fun read(source: SourceFile) {
        val document = TomlDocument.parse(source, findings)
        if (document == null) {
            hasUnreadableFile = true
            return
        }
        when (recognise(source, document)) {
            serviceFileSpec -> services += readService(document)
            zonesFileSpec -> zones += readZones(document)
            customersFileSpec -> customers += readCustomers(document)
            else -> hasUnreadableFile = true
        }
    }

    private fun recognise(source: SourceFile, document: TomlDocument): FileSpec? {
        val specsByTable = mapOf(
            "service" to serviceFileSpec,
            "zones" to zonesFileSpec,
            "customers" to customersFileSpec
        )
        val present = document.topLevelNames.intersect(specsByTable.keys)
        if (present.size == 1) return specsByTable.getValue(present.single())
        val location = SourceLocation(source.path, line = 1, column = 1)
        val found = when {
            present.isNotEmpty() -> present.joinToString(" and ")
            document.topLevelNames.isEmpty() -> "nothing"
            else -> document.topLevelNames.joinToString(", ")
        }
        findings.report(
            location,
            "file",
            "exactly one of [service], [[zones]], [[customers]]",
            found
        )
        return null
    }

    fun checkDuplicates() {
        reportDuplicates(ServiceKeys.table.path("name"), services.mapNotNull { it.name })
        reportDuplicates(ZoneKeys.table.path("name"), zones.mapNotNull { it.name })
        reportDuplicates(CustomerKeys.table.path("name"), customers.mapNotNull { it.name })
        reportDuplicates(
            CustomerKeys.table.path("token_sha256"),
            customers.mapNotNull { it.tokenSha256 },
            show = { "the hash" }
        )
    }

    private fun <T> reportDuplicates(
        key: String,
        values: List<Located<T>>,
        show: (T) -> String = { "\"$it\"" }
    ) {
        val firstLocations = mutableMapOf<T, SourceLocation>()
        for (located in values) {
            val first = firstLocations.putIfAbsent(located.value, located.location) ?: continue
            val found = "${show(located.value)}, which stands at $first"
            findings.report(located.location, key, "a value used once", found)
        }
    }

    fun checkZonesInService() {
        if (zones.isEmpty() || zones.any { it.inService != false }) return
        val location = zones.first().location
        findings.report(location, "zones.in_service", "true in at least one zone", "false in all")
    }

    fun checkComplete() {
        if (hasUnreadableFile) return
        if (zones.isEmpty()) reportMissing(ZONES_FILE, "[[zones]]")
        if (customers.isEmpty()) reportMissing(CUSTOMERS_FILE, "[[customers]]")
        if (services.isEmpty()) reportMissing("service files", "[service]")
    }

    private fun reportMissing(file: String, table: String) {
        findings.report(SourceLocation(file), table.trim('[', ']'), "one or more $table", "none")
    }

    fun configuration(): Configuration? = nullable {
        Configuration(
            zones = zones.map { it.zone.bind() }.toPersistentList(),
            services = services.map { it.service.bind() }.sortedBy(::name).toPersistentList(),
            customers = customers.map { it.customer.bind() }.toPersistentList()
        )
    }

    private fun name(service: Service): String = service.name.value
}
