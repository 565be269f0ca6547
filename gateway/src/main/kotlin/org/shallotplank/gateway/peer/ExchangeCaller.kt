package org.shallotplank.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.shallotplank.core.Address
import org.shallotplank.core.log.LogEvent
import org.shallotplank.core.log.logRecord
import org.shallotplank.gateway.http.HttpCall
import org.shallotplank.gateway.http.HttpClient
import org.shallotplank.gateway.http.HttpClients
import org.shallotplank.gateway.http.HttpReply

/** The connection to a hub, and the basis for the age of the next report sent to it. */
internal class HubLink(clients: HttpClients, val address: Address) {
    val client = clients.to(address)

    /** Separate, so that a fetch that the hub does not answer delays no exchange. */
    private val tableClient = clients.to(address)
    private var fetching: Job? = null
    private var incarnation = 0L
    private var sentAtMillis = 0L
    private var arrivedAt: Instant? = null

    /** The basis of a report made at [now], null before the first answer. */
    fun basis(now: Instant): ContactBasis? = arrivedAt?.let {
        ContactBasis(incarnation, sentAtMillis, (now - it).inWholeMilliseconds)
    }

    fun onAnswer(answer: ExchangeAnswer, now: Instant) {
        incarnation = answer.incarnation
        sentAtMillis = answer.sentAtMillis
        arrivedAt = now
    }

    /** Starts [fetch] unless the previous one still runs. */
    fun startFetch(scope: CoroutineScope, fetch: suspend (HttpClient) -> Unit) {
        if (fetching?.isActive == true) return
        fetching = scope.launch { fetch(tableClient) }
    }

    fun close() {
        fetching?.cancel()
        client.close()
        tableClient.close()
    }
}

/** Sends this entry's report to hubs and learns the reports in their answers. */
internal class ExchangeCaller(
    private val context: ExchangeContext,
    private val peers: Peers,
    private val tables: PeerTables,
    onReport: (PeerView) -> Unit,
    private val follow: suspend (PeerView, HttpClient) -> Unit
) {
    private val clock = context.clock
    private val reports = ExchangedReports(context.ownAddress, peers, tables, onReport)

    /** Makes one exchange; returns false if the hub did not answer or does not offer it. */
    suspend fun ask(link: HubLink, isHub: Boolean): Boolean {
        val answer = exchange(link, isHub) ?: return false
        // Without a basis the hub could not tell how old the report is.
        return answer.isReportUsed || exchange(link, isHub) != null
    }

    private suspend fun exchange(link: HubLink, isHub: Boolean): ExchangeAnswer? {
        val requestedAt = clock.now()
        val call = HttpCall("POST", EXCHANGE_PATH, request(link, isHub), HttpCall.CBOR)
        context.countCall(EXCHANGE_PATH)
        val reply = link.client.call(call, TIMEOUT).getOrNull()
        val answer = reply?.takeIf { it.status == OK }
            ?.let { decodeAnswer(it.body, ::logUnreadable) }
        val content = answer?.let { decodeContent(it.content, ::logUnreadable) }
        if (content == null) {
            onFailure(link.address, reply, isHub)
            return null
        }
        link.onAnswer(answer, clock.now())
        val sentAt = requestedAt - answer.contentAgeMillis.milliseconds
        reports.learn(link.address, content.reports, sentAt)
        val supplied = if (isHub) emptyList() else content.tables
        link.startFetch(context.scope) { useTables(link.address, supplied, sentAt, it) }
        return answer
    }

    /** Uses the [supplied] tables and those that the hub offers, and fetches what it needs. */
    private suspend fun useTables(
        hub: Address,
        supplied: List<SuppliedTable>,
        sentAt: Instant,
        client: HttpClient
    ) = try {
        context.onSupplied(supplied, sentAt, client)
        peers.view(hub)?.takeIf { it.report != null }?.let { follow(it, client) }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        context.logFailure(e)
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun request(link: HubLink, isHub: Boolean): ByteArray {
        val madeAt = clock.now()
        fun encode(tables: List<EntryTable>) = ExchangeRequest(
            address = context.ownAddress.toString(),
            report = Cbor.encodeToByteArray(context.report()),
            tables = tables,
            isHub = isHub,
            lacking = if (isHub) peers.lackingReports(madeAt) else emptyList(),
            basis = link.basis(madeAt)
        ).encode()
        // The hub fetches tables that do not fit.
        return encode(tables.ownTables()).takeIf { it.size <= MAX_REQUEST_BYTES }
            ?: encode(emptyList())
    }

    /** Hubs keep asking another hub, since nobody else passes on the reports of its members. */
    private fun onFailure(hub: Address, reply: HttpReply?, isHub: Boolean) {
        val view = peers.view(hub) ?: return
        val now = clock.now()
        if (reply?.status == NOT_FOUND) {
            view.withoutExchangeUntil = now + WITHOUT_EXCHANGE_TIME
        } else if (!isHub) {
            view.avoidedUntil = now + AVOID_TIME
        }
    }

    private fun logUnreadable(detail: String?) = context.log(
        logRecord(LogEvent.STORE_ROW_UNREADABLE, "row" to "exchange", "detail" to detail)
    )

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404

        /** Below the limit of the peer interface, 65,536 bytes. */
        const val MAX_REQUEST_BYTES = 60_000

        /** Two hubs that are silent in turn leave a report below the liveness timeout. */
        val TIMEOUT: Duration = 500.milliseconds

        /** Short, so that a hub that returns is used again soon. */
        val AVOID_TIME = 2.seconds

        /** An older build may be replaced by a newer one at any time. */
        val WITHOUT_EXCHANGE_TIME = 20.seconds
    }
}
