package org.shallotplank.config

import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.CustomerName
import org.shallotplank.core.config.Customer

/** Keys of each table `[[customers]]`. */
internal object CustomerKeys {
    private val defaults = Customer(name = CustomerName(""), tokenSha256 = "")

    val name = KeySpec(
        name = "name",
        rule = name(::CustomerName),
        doc = "Name of the customer in logs and metrics. Unique."
    )
    val tokenSha256 = KeySpec(
        name = "token_sha256",
        rule = sha256(),
        doc = "SHA-256 of the customer's token. The token itself never stands in a file. Unique."
    )
    val weight = KeySpec(
        name = "weight",
        rule = wholeNumber(1..1_000),
        default = defaults.weight,
        doc = "Share of a contended service relative to other customers."
    )
    val maxConcurrency = KeySpec(
        name = "max_concurrency",
        rule = wholeNumber(1..100_000, unit = "requests"),
        default = defaults.maxConcurrency,
        doc = "Requests that the customer may have in flight at one entry instance."
    )
    val table = TableSpec(
        name = "customers",
        shape = TableShape.REPEATED,
        doc = "One customer. Its presence makes the file the customers file.",
        keys = persistentListOf(name, tokenSha256, weight, maxConcurrency)
    )
}

/** The customers file: all customers that may send requests. */
internal val customersFileSpec = FileSpec("customers file", persistentListOf(CustomerKeys.table))
