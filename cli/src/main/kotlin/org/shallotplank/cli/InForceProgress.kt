package org.shallotplank.cli

import org.shallotplank.core.Address
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.InstanceId

/** Number of processes that apply a configuration version, and of all processes counted. */
internal data class InForceCounts(val inForce: Int, val total: Int) {
    val isEverywhere: Boolean get() = total > 0 && inForce == total
}

/** Asks entries which configuration version they and their connected agents apply. */
internal class InForceProgress(private val client: AdminClient, private val admins: List<Address>) {
    /**
     * Counts the processes that apply [version] or a later one.
     *
     * Entries that do not answer count in the total only.
     */
    fun count(version: ConfigurationVersion): InForceCounts {
        val statuses = admins.map { client.status(it) }
        val versions = mutableMapOf<InstanceId, ConfigurationVersion>()
        for (status in statuses.filterNotNull()) {
            versions[status.instance] = status.configurationVersion
            status.upstreams.filter { it.connected }.forEach {
                versions.merge(it.instance, it.configurationVersion, ::maxOf)
            }
        }
        val silent = statuses.count { it == null }
        return InForceCounts(
            inForce = versions.values.count { it >= version },
            total = versions.size + silent
        )
    }
}
