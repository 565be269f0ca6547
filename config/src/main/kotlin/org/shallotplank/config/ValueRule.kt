package org.shallotplank.config

import java.net.InetAddress
import java.net.UnknownHostException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Address
import org.tomlj.TomlArray
import org.tomlj.TomlTable

/**
 * Allowed values of a key, and the conversion of its TOML value to [T].
 *
 * [parse] returns null for a value that is not allowed.
 */
internal class ValueRule<T : Any>(
    /** TOML type, for the reference pages. */
    val type: String,
    /** Allowed values as findings print them after "expected". */
    val expected: String,
    /** A value that is not allowed, shown in the reference pages. */
    val wrongExample: Any,
    val unit: String? = null,
    /** Whether the value is or may be a secret and must not be printed. */
    val secret: Boolean = false,
    val print: (T) -> String = { it.toString() },
    val parse: (Any) -> T?
) {
    /** Describes a value that was found, without revealing a secret. */
    fun describe(value: Any): String = when {
        secret -> "a value that is not shown"
        value is String -> "\"${value.take(MAX_SHOWN_CHARACTERS)}\""
        value is TomlTable -> "a table"
        value is TomlArray -> "an array"
        else -> value.toString()
    }

    private companion object {
        const val MAX_SHOWN_CHARACTERS = 80
    }
}

private const val PORT_MAX = 65_535
private const val NAME_MAX_CHARACTERS = 63
private val namePattern = Regex("[a-z0-9]([a-z0-9-]*[a-z0-9])?")
private val sha256Pattern = Regex("[0-9a-f]{64}")
private val pathPattern = Regex("/[^\\s?#*]*\\*?")
private val ipv4Pattern = Regex("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})")

/** A name of a service, zone, customer or instance. */
internal fun <T : Any> name(wrap: (String) -> T): ValueRule<T> = ValueRule(
    type = "string",
    expected = "1 to $NAME_MAX_CHARACTERS lower-case letters, digits and inner hyphens",
    wrongExample = "Order App",
    parse = { value ->
        (value as? String)
            ?.takeIf { it.length <= NAME_MAX_CHARACTERS && namePattern.matches(it) }
            ?.let(wrap)
    }
)

/** One of the constants of an enum, written in lower case. */
internal inline fun <reified E : Enum<E>> choice(): ValueRule<E> =
    choice(enumValues<E>().associateBy { it.name.lowercase() })

/** One of the keys of [values]. */
internal fun <T : Any> choice(values: Map<String, T>): ValueRule<T> = ValueRule(
    type = "string",
    expected = values.keys.joinToString(" or ") { "\"$it\"" },
    wrongExample = "other",
    print = { value -> "\"${values.entries.first { it.value == value }.key}\"" },
    parse = { values[it] }
)

internal fun flag(): ValueRule<Boolean> = ValueRule(
    type = "boolean",
    expected = "true or false",
    wrongExample = "yes",
    parse = { it as? Boolean }
)

internal fun wholeNumber(range: IntRange, unit: String? = null): ValueRule<Int> = ValueRule(
    type = "integer",
    expected = "a whole number from ${range.first} to ${range.last}",
    wrongExample = range.first - 1L,
    unit = unit,
    parse = { value -> (value as? Long)?.takeIf { it in range.asLongs() }?.toInt() }
)

/** A number that may have a fraction, which is dropped: a bound must not exceed its setting. */
internal fun roundedDown(range: IntRange, unit: String? = null): ValueRule<Int> = ValueRule(
    type = "float",
    expected = "a number from ${range.first} to ${range.last}",
    wrongExample = range.first - 1L,
    unit = unit,
    parse = { value -> numberIn(range, value)?.toInt() }
)

internal fun ratio(): ValueRule<Double> = ValueRule(
    type = "float",
    expected = "a number from 0.0 to 1.0",
    wrongExample = 1.5,
    parse = { value -> (value as? Number)?.toDouble()?.takeIf { it in 0.0..1.0 } }
)

internal fun seconds(range: IntRange): ValueRule<Duration> =
    duration(range, unit = "seconds", { it.seconds }, { it.inWholeSeconds })

/** A duration whose number of seconds may have a fraction. */
internal fun fractionalSeconds(range: IntRange): ValueRule<Duration> = ValueRule(
    type = "float",
    expected = "a number of seconds from ${range.first} to ${range.last}",
    wrongExample = range.first - 1L,
    unit = "seconds",
    print = { it.toDouble(DurationUnit.SECONDS).toString() },
    parse = { value -> numberIn(range, value)?.seconds }
)

internal fun millis(range: IntRange): ValueRule<Duration> =
    duration(range, unit = "milliseconds", { it.milliseconds }, { it.inWholeMilliseconds })

private fun duration(
    range: IntRange,
    unit: String,
    read: (Long) -> Duration,
    write: (Duration) -> Long
): ValueRule<Duration> = ValueRule(
    type = "integer",
    expected = "a whole number of $unit from ${range.first} to ${range.last}",
    wrongExample = range.first - 1L,
    unit = unit,
    print = { write(it).toString() },
    parse = { value -> (value as? Long)?.takeIf { it in range.asLongs() }?.let(read) }
)

/** An HTTP path, exact or a prefix that ends in an asterisk. */
internal fun httpPath(): ValueRule<String> = ValueRule(
    type = "string",
    expected = "a path that starts with / and may end in * for a prefix",
    wrongExample = "quotes",
    parse = { value -> (value as? String)?.takeIf(pathPattern::matches) }
)

/** The hash of a token; secret, since a wrong value may be the token itself. */
internal fun sha256(): ValueRule<String> = ValueRule(
    type = "string",
    expected = "the SHA-256 of the token in 64 lower-case hexadecimal digits, never the token",
    wrongExample = "token in clear",
    secret = true,
    parse = { value -> (value as? String)?.takeIf(sha256Pattern::matches) }
)

/** Path of a file that holds a secret; secret, since a wrong value may be that secret. */
internal fun secretFilePath(): ValueRule<String> = ValueRule(
    type = "string",
    expected = "an absolute path of a file",
    wrongExample = "cluster.key",
    secret = true,
    parse = { value -> (value as? String)?.takeIf { it.startsWith('/') && !it.endsWith('/') } }
)

/** An IP address and port to listen on; the wildcard address is allowed. */
internal fun listenAddress(): ValueRule<Address> = ValueRule(
    type = "string",
    expected = "an IP number and port such as 10.0.0.1:8080 or [fd00::1]:8080",
    wrongExample = "entry-1.example.org:8080",
    print = { "\"$it\"" },
    parse = { value -> (value as? String)?.let(::parseAddress) }
)

/** An IP address and port to connect to; the wildcard address is not allowed. */
internal fun remoteAddress(): ValueRule<Address> = ValueRule(
    type = "string",
    expected = "the IP number and port of one machine such as 10.0.0.1:8080 or [fd00::1]:8080",
    wrongExample = "0.0.0.0:8080",
    print = { "\"$it\"" },
    parse = { value -> (value as? String)?.let(::parseAddress)?.takeUnless(::isWildcard) }
)

/** An array of addresses to connect to, which may be empty. */
internal fun remoteAddresses(): ValueRule<PersistentList<Address>> = ValueRule(
    type = "array of strings",
    expected = "an array of IP numbers with ports such as [\"10.0.0.1:8080\"]",
    wrongExample = "10.0.0.1:8080",
    print = { addresses -> addresses.joinToString(", ", "[", "]") { "\"$it\"" } },
    parse = { value ->
        val texts = (value as? TomlArray)?.toList()
        val addresses = texts?.mapNotNull { (it as? String)?.let(::parseAddress) }
        addresses?.takeIf { it.size == texts.size }?.toPersistentList()
    }
)

/** The number that [value] is, null if it is another type, not a number or outside [range]. */
private fun numberIn(range: IntRange, value: Any): Double? =
    (value as? Number)?.toDouble()?.takeIf { it >= range.first && it <= range.last }

private fun IntRange.asLongs(): LongRange = first.toLong()..last.toLong()

private fun parseAddress(text: String): Address? {
    val host = text.substringBeforeLast(':', missingDelimiterValue = "")
    val port = text.substringAfterLast(':').takeIf { it.all(Char::isDigit) }?.toIntOrNull()
    if (port == null || port !in 1..PORT_MAX) return null
    return parseIpNumber(host)?.let { Address(it, port) }
}

private fun parseIpNumber(host: String): String? {
    if (host.startsWith('[') && host.endsWith(']')) {
        return host.drop(1).dropLast(1).takeIf(::isIpv6Number)
    }
    val parts = ipv4Pattern.matchEntire(host)?.groupValues?.drop(1) ?: return null
    return host.takeIf { parts.all { it.toInt() <= 255 } }
}

/** Whether [host] is an IPv6 address; the brackets keep the library from a DNS lookup. */
private fun isIpv6Number(host: String): Boolean {
    if (':' !in host || '%' in host) return false
    return try {
        InetAddress.getByName("[$host]")
        true
    } catch (e: UnknownHostException) {
        false
    }
}

private fun isWildcard(address: Address): Boolean =
    InetAddress.getByName(address.host).isAnyLocalAddress
