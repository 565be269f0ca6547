package org.shallotplank.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.AttemptId
import org.shallotplank.core.InstanceId
import org.shallotplank.core.InstanceRole
import org.shallotplank.core.RequestId
import org.shallotplank.core.agent.AgentReport
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.AttemptReply
import org.shallotplank.core.call.Payload
import org.shallotplank.core.dissemination.PeerMessage

/**
 * A message between two processes of the system.
 *
 * [Hello] and [Proof] make up the handshake; all other frames follow it.
 */
@Serializable
public sealed interface Frame {
    /** First frame of each side: its identity and a fresh [nonce] for the handshake. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        val protocolVersion: Int,
        val sender: InstanceId,
        val role: InstanceRole,
        /** Random bytes that make the session keys of this connection unique. */
        val nonce: Payload
    ) : Frame

    /** Second frame of each side: proof that it has the cluster key. */
    @Serializable
    @SerialName("proof")
    public data class Proof(val mac: Payload) : Frame

    /** An entry asks an agent to run a request. */
    @Serializable
    @SerialName("offer")
    public data class Offer(val offer: AttemptOffer) : Frame

    /** An agent answers an offer. */
    @Serializable
    @SerialName("reply")
    public data class Reply(
        val requestId: RequestId,
        val attemptId: AttemptId,
        val reply: AttemptReply
    ) : Frame

    /** An entry cancels an attempt whose answer it no longer needs. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(val requestId: RequestId, val attemptId: AttemptId) : Frame

    /** An agent reports the state of its upstream. */
    @Serializable
    @SerialName("report")
    public data class Report(val report: AgentReport) : Frame

    /** Carries configuration versions and notices between peers. */
    @Serializable
    @SerialName("peer")
    public data class Peer(val message: PeerMessage) : Frame

    /** Heartbeat: the other side answers with a [Pong] of the same [sequence]. */
    @Serializable
    @SerialName("ping")
    public data class Ping(val sequence: Long) : Frame

    /** Answer to a [Ping]. */
    @Serializable
    @SerialName("pong")
    public data class Pong(val sequence: Long) : Frame
}
