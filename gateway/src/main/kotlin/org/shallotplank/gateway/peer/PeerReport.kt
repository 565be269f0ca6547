package org.shallotplank.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What an entry tells the others when they ask.
 *
 * @property incarnation differs from start to start of one instance.
 * @property publicAddress where callers reach it.
 * @property tableVersions how far its copies of the store's tables go.
 * @property inFlight its attempts that have not ended, by upstream.
 * @property crashes lost attempts of requests that crashed upstreams lately.
 * @property leaving upstreams that said in an answer that they leave, and that are still listed.
 * @property groupsLeft rank groups that it has kept and never will again.
 * @property slowRanks ranks of the groups that it keeps whose work takes longer than usual.
 * @property leases leases of rank groups as it last saw them.
 * @property leasesAgeMillis time since the store last told it the leases, null if it never has.
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

/** Attempts that have not ended at one incarnation of an upstream. */
@Serializable
internal class UpstreamInFlight(val id: String, val incarnation: Long, val count: Int)

/** A rank whose work takes [slowdown] times as long as usual. */
@Serializable
internal class SlowRank(val id: String, @SerialName("pace") val slowdown: Double)

/** One incarnation of an upstream that takes no further requests. */
@Serializable
internal data class LeavingUpstream(val id: String, val incarnation: Long)

/** The term of a rank group's lease. */
@Serializable
internal data class SeenLease(val group: String, val term: Long)

/** A crash that [attempt] of a request was running in. */
@Serializable
internal data class KnownCrash(val customer: String, val bodySha256: String, val attempt: String)

/** A copy of a table, as entries pass it on. */
@Serializable
internal class TableCopy(val version: Long, val rows: List<RowCopy>)

/** One row of a [TableCopy]. */
@Serializable
internal class RowCopy(val key: String, val value: String, val version: Long)
