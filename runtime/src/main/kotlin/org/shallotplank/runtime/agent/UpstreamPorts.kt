package org.shallotplank.runtime.agent

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.AttemptOffer
import org.shallotplank.core.call.Payload

/** How a call to the upstream ended. */
internal sealed interface UpstreamEnd {
    /** The answer was received completely. */
    data object Whole : UpstreamEnd

    /** The connection could not be established, so nothing was sent. */
    data object NeverSent : UpstreamEnd

    /** The call failed when part of the request may have been sent. */
    data object Lost : UpstreamEnd
}

/** Receives the parts of an upstream's answer in the order of their arrival. */
internal class AnswerSink(
    val onHead: suspend (AnswerHead) -> Unit,
    val onChunk: suspend (eventId: Long, payload: Payload) -> Unit
)

/** Load as the upstream reports it; it may be out of date. */
@Serializable
internal data class UpstreamLoad(
    val incarnation: Long,
    val running: Int = 0,
    val queued: Int = 0,
    @SerialName("step_millis") val stepMillis: Double = 0.0,
    val cold: Boolean = false,
    @SerialName("cached_prefixes") val cachedPrefixes: List<String> = emptyList()
)

/** Calls that an agent makes to its upstream. */
internal class UpstreamPorts(
    val call: suspend (offer: AttemptOffer, sink: AnswerSink) -> UpstreamEnd,
    /** Returns the load, or null on any failure. */
    val readLoad: suspend () -> UpstreamLoad?
)
