package org.shallotplank.integrationtest.cluster

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.integrationtest.EngineSettings
import org.shallotplank.integrationtest.PlainServiceSettings

/** Kind and settings of the stand-in that runs as an upstream. */
internal sealed interface UpstreamKind {
    /** An inference engine. */
    data class Engine(val settings: EngineSettings = EngineSettings()) : UpstreamKind

    /** A plain service. */
    data class Plain(val settings: PlainServiceSettings = PlainServiceSettings()) : UpstreamKind
}

/** The upstreams of one service; instance n is in zone n modulo the number of zones. */
internal data class ServiceLayout(val name: ServiceName, val kind: UpstreamKind, val upstreams: Int)

/** Region, zones, entries and services of a [LoopbackCluster]. */
internal data class ClusterLayout(
    val entries: Int = 4,
    val region: String = "windhoek",
    val zones: PersistentList<ZoneName> =
        persistentListOf(ZoneName("khomas-a"), ZoneName("khomas-b"), ZoneName("khomas-c")),
    val services: PersistentList<ServiceLayout> = persistentListOf(
        ServiceLayout(ServiceName("draft-model"), UpstreamKind.Engine(), upstreams = 4),
        ServiceLayout(ServiceName("order-app"), UpstreamKind.Plain(), upstreams = 2)
    )
) {
    /** Zone of the entry or upstream with [index]. */
    fun zone(index: Int): ZoneName = zones[index % zones.size]
}
