package org.shallotplank.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.gateway.store.StoreRow

/**
 * The state that an entry reports to other entries on request.
 *
 * @property incarnation differs with each start of the instance.
 * @property publicAddress address at which callers reach it.
 * @property tableVersions versions of its copies of the store's tables, their eras (see
 *   [revisionOf]) and versions of its [PeerTables].
 * @property inFlight its attempts in flight, by upstream.
 * @property crashes lost attempts of requests that recently crashed upstreams.
 * @property leaving listed upstreams that announced in an answer that they are leaving.
 * @property groupsLeft rank groups that it has kept and will not keep again.
 * @property slowRanks ranks of the groups that it keeps whose work takes longer than usual.
 * @property leases last observed terms of the leases of rank groups.
 * @property leasesAgeMillis time since it last read the leases from the store, null if never.
 */
@Serializable
internal class PeerReport(
    val instance: String,
    val incarnation: Long,
    val publicAddress: String,
    val zone: String,
    val isReady: Boolean,
    val isStopping: Boolean,
    val tableVersions: Map<String, Long>,
    val inFlight: List<UpstreamInFlight>,
    val crashes: List<KnownCrash>,
    val leaving: List<LeavingUpstream> = emptyList(),
    val groupsLeft: List<String> = emptyList(),
    val slowRanks: List<SlowRank> = emptyList(),
    val leases: List<SeenLease> = emptyList(),
    val leasesAgeMillis: Long? = null
)

/** Number of attempts in flight at one incarnation of an upstream. */
@Serializable
internal class UpstreamInFlight(val id: String, val incarnation: Long, val count: Int)

/** A rank whose work takes [slowdown] times as long as usual. */
@Serializable
internal class SlowRank(val id: String, @SerialName("pace") val slowdown: Double)

/** One incarnation of an upstream that is leaving and accepts no further requests. */
@Serializable
internal data class LeavingUpstream(val id: String, val incarnation: Long)

/** The last observed term of a rank group's lease. */
@Serializable
internal data class SeenLease(val group: String, val term: Long)

/** A crash of an upstream while [attempt] of a request was running on it. */
@Serializable
internal data class KnownCrash(val customer: String, val bodySha256: String, val attempt: String)

/** A copy of a table of the store, as one entry sends it to another. */
@Serializable
internal class TableCopy(val version: Long, val rows: List<RowCopy>) {
    fun storeRows(): List<StoreRow> = rows.map { StoreRow(it.key, it.value, it.version) }
}

/** One row of a [TableCopy]. */
@Serializable
internal class RowCopy(val key: String, val value: String, val version: Long)
