package org.shallotplank.config

import arrow.core.raise.nullable
import org.shallotplank.core.CustomerName
import org.shallotplank.core.config.Customer

/** The keys of one table `[[customers]]`; keys that could not be read are null. */
internal class CustomerReading(reader: TableReader) {
    val name: Located<CustomerName>? = reader.locate(CustomerKeys.name)
    val tokenSha256: Located<String>? = reader.locate(CustomerKeys.tokenSha256)
    private val weight = reader.read(CustomerKeys.weight)
    private val maxConcurrency = reader.read(CustomerKeys.maxConcurrency)

    /** The customer, or null when a key could not be read. */
    val customer: Customer? = nullable {
        Customer(
            name = name.bind().value,
            tokenSha256 = tokenSha256.bind().value,
            weight = weight.bind(),
            maxConcurrency = maxConcurrency.bind()
        )
    }
}

/** Reads the customers file [document]. */
internal fun readCustomers(document: TomlDocument): List<CustomerReading> {
    document.checkTopLevel(customersFileSpec)
    return document.repeated(CustomerKeys.table).map(::CustomerReading)
}
