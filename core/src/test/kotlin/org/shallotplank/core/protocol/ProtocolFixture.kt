package org.shallotplank.core.protocol

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.CustomerName
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.config.Configuration
import org.shallotplank.core.config.Customer
import org.shallotplank.core.config.Operation
import org.shallotplank.core.config.Service
import org.shallotplank.core.config.ServiceKind
import org.shallotplank.core.config.ServiceLimits
import org.shallotplank.core.config.StopPolicy
import org.shallotplank.core.config.ZoneSettings
import org.shallotplank.core.execution.sha256Hex

/** Configuration of the fuzzed system, and the answers that its upstreams give. */
internal object ProtocolFixture {
    const val ENTRIES = 2
    const val AGENTS = 3
    val SERVICE = ServiceName("svc")
    val ZONES = listOf(ZoneName("z0"), ZoneName("z1"), ZoneName("z2"))
    val TOKEN = sha256Hex("token")

    /** The parts of the answer to a request with [body]; more than one if it is streamed. */
    fun answerOf(body: String, streamed: Boolean): List<String> =
        if (streamed) List(STREAM_PARTS) { "$body#${it + 1};" } else listOf("done $body")

    private const val STREAM_PARTS = 4

    fun configuration(version: Long, zoneInService: Boolean) = Configuration(
        version = ConfigurationVersion(version),
        zones = ZONES.mapIndexed { index, zone ->
            ZoneSettings(zone, "region", inService = index > 0 || zoneInService)
        }.toPersistentList(),
        services = persistentListOf(
            Service(
                name = SERVICE,
                kind = ServiceKind.MODEL,
                operations = CallKind.entries.map {
                    Operation(
                        name = it.name,
                        method = "POST",
                        path = it.path,
                        idempotent = it != CallKind.BOOK,
                        streamed = it == CallKind.DRAFT,
                        deadline = 20.seconds
                    )
                }.toPersistentList(),
                limits = ServiceLimits(coldConcurrency = 2, maxConcurrency = 4),
                stop = StopPolicy(resumable = true)
            )
        ),
        customers = persistentListOf(Customer(CustomerName("c"), TOKEN))
    )
}

/** Kinds of requests that callers send. */
internal enum class CallKind(val path: String) {
    BOOK("/book"),
    FIND("/find"),
    DRAFT("/draft")
}
