package org.shallotplank.gateway.peer

import kotlinx.serialization.Serializable

/** The row under which an entry registers itself, so that the others find it. */
@Serializable
internal data class PeerRow(
    val incarnation: Long,
    val peerAddress: String,
    val publicAddress: String,
    val zone: String
)
