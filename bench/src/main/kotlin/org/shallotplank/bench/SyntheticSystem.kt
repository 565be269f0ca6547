package org.shallotplank.bench

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.Address
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.ServiceName
import org.shallotplank.core.ZoneName
import org.shallotplank.core.dissemination.DisseminationSettings
import org.shallotplank.core.dissemination.Manifest
import org.shallotplank.core.dissemination.Peer
import org.shallotplank.core.dissemination.Section
import org.shallotplank.core.dissemination.SectionName
import org.shallotplank.core.dissemination.Sha256
import org.shallotplank.core.membership.PeerQuotas
import org.shallotplank.core.membership.PeerSelection

/** Instances of a system of [memberCount] processes, in the proportions of the stated size. */
internal class SyntheticSystem(memberCount: Int) {
    private val entryCount =
        maxOf(MIN_ENTRIES, memberCount * StatedSize.ENTRIES / StatedSize.MEMBERS)
    private val zoneCount = (memberCount / MEMBERS_PER_ZONE).coerceIn(MIN_ZONES, StatedSize.ZONES)
    private val regionCount = (zoneCount / 2).coerceIn(1, StatedSize.REGIONS)

    val entries: PersistentList<Instance> =
        (0 until entryCount).map { instance(it, InstanceRole.ENTRY) }.toPersistentList()

    val agents: PersistentList<Instance> = (entryCount until memberCount)
        .map { instance(it, InstanceRole.UPSTREAM) }
        .toPersistentList()

    val instances: PersistentList<Instance> = (entries + agents).toPersistentList()

    /** The peers that each instance has chosen. */
    val peers: Map<InstanceId, PersistentList<Peer>> = choosePeers()

    /** The peers of each instance and the instances that chose it as their peer. */
    val links: Map<InstanceId, Set<InstanceId>> = buildMap<InstanceId, MutableSet<InstanceId>> {
        peers.forEach { (id, chosen) ->
            chosen.forEach { peer ->
                getOrPut(id) { HashSet() } += peer.id
                getOrPut(peer.id) { HashSet() } += id
            }
        }
    }

    private fun choosePeers(): Map<InstanceId, PersistentList<Peer>> {
        val entryPeers = PeerSelection()
        val agentPeers = PeerSelection(AGENT_QUOTAS)
        val byRegion = entries.groupBy { it.region }
        return entries.associate { it.id to entryPeers.peers(it, entries).asPeers() } +
            agents.associate {
                it.id to agentPeers.peers(it, byRegion[it.region].orEmpty()).asPeers()
            }
    }

    private fun instance(index: Int, role: InstanceRole): Instance {
        val zone = index % zoneCount
        return Instance(
            id = InstanceId("i-%08x".format(index)),
            role = role,
            zone = ZoneName("zone-$zone"),
            region = "region-${zone % regionCount}",
            address = Address("10.0.${index / 256}.${index % 256}", PORT),
            service = if (role == InstanceRole.UPSTREAM) service(index) else null
        )
    }

    companion object {
        /** Agents send to at most three entries, all in their own region. */
        val AGENT_QUOTAS = PeerQuotas(sameZone = 2, sameRegion = 1, otherRegions = 0)

        private const val MIN_ENTRIES = 4
        private const val MIN_ZONES = 3
        private const val MEMBERS_PER_ZONE = 30
        private const val PORT = 7000

        fun service(index: Int): ServiceName = ServiceName("model-${index % StatedSize.SERVICES}")
    }
}

internal fun settingsOf(role: InstanceRole): DisseminationSettings =
    if (role == InstanceRole.ENTRY) DisseminationSettings() else DisseminationSettings.ForAgents

internal fun Instance.asPeer(): Peer = Peer(id, zone, region)

private fun List<Instance>.asPeers(): PersistentList<Peer> = map { it.asPeer() }.toPersistentList()

/** A configuration in which each change replaces one section. */
internal class SyntheticConfiguration(sectionCount: Int, private val sectionBytes: Int) {
    private val contents = HashMap<Sha256, String>()

    var manifest: Manifest = Manifest(
        version = ConfigurationVersion(1),
        sections = (0 until sectionCount).map { section(it, 1) }.toPersistentList()
    )
        private set

    fun content(sha256: Sha256): String? = contents[sha256]

    /** Publishes a new version in which one section differs. */
    fun change() {
        val version = manifest.version.value + 1
        val index = (version % manifest.sections.size).toInt()
        val sections = manifest.sections.set(index, section(index, version))
        manifest = Manifest(ConfigurationVersion(version), sections)
    }

    private fun section(index: Int, version: Long): Section {
        val content = "$index/$version".padEnd(sectionBytes, 'x')
        val sha256 = Sha256.of(content)
        contents[sha256] = content
        return Section(SectionName("section/%04d".format(index)), sha256, sectionBytes)
    }
}
