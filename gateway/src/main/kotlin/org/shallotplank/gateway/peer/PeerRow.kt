package org.shallotplank.gateway.peer

import kotlinx.serialization.Serializable

/** The row of the store with which an entry registers, so that other entries find it. */
@Serializable
internal data class PeerRow(
    val incarnation: Long,
    val peerAddress: String,
    val publicAddress: String,
    val zone: String
)
