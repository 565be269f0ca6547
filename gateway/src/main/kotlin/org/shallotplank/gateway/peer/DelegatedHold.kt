package org.shallotplank.gateway.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.shallotplank.core.Address
import org.shallotplank.core.InstanceId
import org.shallotplank.core.expertmap.OrderOutcome
import org.shallotplank.core.expertmap.RankOrder
import org.shallotplank.gateway.group.RankAddress
import org.shallotplank.gateway.group.RankPort
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpClients

/** The order to hold [step] at a rank, which a keeper asks another entry to send. */
@Serializable
internal class DelegatedHold(
    val rankId: String,
    val rankAddress: String,
    val step: Long,
    val epoch: Long,
    val fence: Long
)

/** The outcome of a [DelegatedHold] as the entry that sent it learned it. */
@Serializable
internal class DelegatedOutcome(val outcome: OrderOutcome)

/** Path of the peer interface at which an entry accepts a [DelegatedHold]. */
internal const val HOLD_PATH: String = "/peer/hold"

/** Asks the entry at [peer] to send [hold]; [OrderOutcome.NO_ANSWER] if that fails. */
@OptIn(ExperimentalSerializationApi::class)
internal suspend fun delegate(
    hold: DelegatedHold,
    peer: Address,
    clients: HttpClients
): OrderOutcome {
    val call = HttpCall("POST", HOLD_PATH, Cbor.encodeToByteArray(hold), HttpCall.CBOR)
    val client = clients.to(peer)
    val reply = try {
        client.call(call, DELEGATION_TIMEOUT).getOrNull()?.takeIf { it.status == OK }
    } finally {
        client.close()
    }
    return reply?.let { decodeOrNull<DelegatedOutcome>(it.body)?.outcome } ?: OrderOutcome.NO_ANSWER
}

/** Sends the hold that [body] encodes; null if the body cannot be read. */
@OptIn(ExperimentalSerializationApi::class)
internal suspend fun sendDelegated(body: ByteArray, port: RankPort): ByteArray? {
    val hold = decodeOrNull<DelegatedHold>(body) ?: return null
    val address = Address.parseOrNull(hold.rankAddress) ?: return null
    val rank = RankAddress(InstanceId(hold.rankId), address)
    val outcome =
        port.sendDelegatedOrder(rank, RankOrder.Hold(hold.step), hold.epoch, hold.fence)
    return Cbor.encodeToByteArray(DelegatedOutcome(outcome))
}

/** Decodes [body]; null if it cannot be read, which callers report as a failed order. */
@OptIn(ExperimentalSerializationApi::class)
private inline fun <reified T> decodeOrNull(body: ByteArray): T? = try {
    Cbor.decodeFromByteArray<T>(body)
} catch (e: SerializationException) {
    null
}

private const val OK = 200

/** Covers the order itself, which is abandoned after 40 ms, and two connections. */
private val DELEGATION_TIMEOUT = 60.milliseconds
