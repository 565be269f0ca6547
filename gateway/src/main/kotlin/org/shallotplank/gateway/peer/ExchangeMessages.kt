package org.shallotplank.gateway.peer

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.shallotplank.gateway.store.ChangeBatch
import org.shallotplank.gateway.store.RowChange
import org.shallotplank.gateway.store.StoreRevision
import org.shallotplank.gateway.store.StoreRow
import org.shallotplank.gateway.store.TableChanges

/** Path of the peer interface at which an entry accepts an [ExchangeRequest]. */
internal const val EXCHANGE_PATH: String = "/peer/exchange"

/** Later builds may add fields to the messages, but not to the reports that they carry. */
@OptIn(ExperimentalSerializationApi::class)
private val exchangeCbor = Cbor { ignoreUnknownKeys = true }

/**
 * The report of an entry, and its question for those of others.
 *
 * @property address peer address of the sender.
 * @property report an encoded [PeerReport].
 * @property isHub whether the sender is a hub, which needs the reports of the members only.
 * @property lacking peer addresses of the entries whose reports a hub no longer gets directly. The
 *   receiver adds those that it has from other hubs.
 * @property basis when the report was made on the clock of the receiver; null if unknown. The
 *   receiver then ignores the report, since it may have been on its way for any time.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ExchangeRequest(
    val address: String,
    @ByteString val report: ByteArray,
    val tables: List<EntryTable> = emptyList(),
    val isHub: Boolean = false,
    val lacking: List<String> = emptyList(),
    val basis: ContactBasis? = null
)

/**
 * A point in time on the clock of another entry, no later than the message that carries it.
 *
 * @property incarnation the entry whose clock is meant.
 * @property sentAtMillis time of its last answer on its clock.
 * @property elapsedMillis time since that answer arrived, on the clock of the sender.
 */
@Serializable
internal class ContactBasis(val incarnation: Long, val sentAtMillis: Long, val elapsedMillis: Long)

/**
 * Answer to an [ExchangeRequest].
 *
 * @property isReportUsed false if the request should be repeated with a [ContactBasis].
 * @property contentAgeMillis time since [content] was made.
 * @property content an [ExchangeContent], encoded and compressed.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ExchangeAnswer(
    val incarnation: Long,
    val sentAtMillis: Long,
    val isReportUsed: Boolean,
    val contentAgeMillis: Long,
    @ByteString val content: ByteArray
)

/** The reports that a hub passes on, and its copies of the store's tables. */
@Serializable
internal class ExchangeContent(
    val reports: List<ExchangedReport>,
    val tables: List<SuppliedTable> = emptyList()
)

/**
 * The latest changes of a table of the store.
 *
 * @property contactAgeMillis time since the hub's last call that the store answered began.
 * @property returnedAgeMillis time since the store last answered it after an outage; null if never.
 */
@Serializable
internal class SuppliedTable(
    val name: String,
    val era: Long,
    val version: Long,
    val contactAgeMillis: Long,
    val returnedAgeMillis: Long? = null,
    val batches: List<SuppliedBatch> = emptyList()
) {
    val revision: StoreRevision get() = StoreRevision(era, version)

    fun changeBatches(): List<ChangeBatch> = batches.map { batch ->
        val changes = batch.changes.map { row ->
            val value = row.value
            if (value == null) {
                RowChange.Removed(row.key)
            } else {
                RowChange.Written(StoreRow(row.key, value, row.version))
            }
        }
        ChangeBatch(
            from = StoreRevision(era, batch.from),
            changes = TableChanges(changes, StoreRevision(era, batch.to))
        )
    }
}

/** The changes from version [from] to version [to], in the order in which they were made. */
@Serializable
internal class SuppliedBatch(val from: Long, val to: Long, val changes: List<SuppliedRow>)

/** A row that was written, or removed if [value] is null. */
@Serializable
internal class SuppliedRow(val key: String, val value: String? = null, val version: Long = 0)

internal fun ChangeBatch.supplied() = SuppliedBatch(
    from = from.version,
    to = changes.revision.version,
    changes = changes.inOrder.map { change ->
        when (change) {
            is RowChange.Written -> with(change.row) { SuppliedRow(key, value, version) }
            is RowChange.Removed -> SuppliedRow(change.key)
        }
    }
)

/**
 * A report that an entry made [ageMillis] before the [ExchangeContent].
 *
 * @property isPolled whether the hub polled it, rather than the entry using it as its hub.
 * @property isRelayed whether the hub got it from another hub.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ExchangedReport(
    val address: String,
    val ageMillis: Long,
    @ByteString val report: ByteArray,
    val tables: List<EntryTable> = emptyList(),
    val isPolled: Boolean = false,
    val isRelayed: Boolean = false
)

/** Rows of one entry in a [PeerTable], as of [ageMillis] before the message. */
@Serializable
internal class EntryTable(
    val name: String,
    val version: Long,
    val ageMillis: Long,
    val rows: List<RowCopy>
)

@OptIn(ExperimentalSerializationApi::class)
internal fun ExchangeRequest.encode(): ByteArray = exchangeCbor.encodeToByteArray(this)

@OptIn(ExperimentalSerializationApi::class)
internal fun ExchangeAnswer.encode(): ByteArray = exchangeCbor.encodeToByteArray(this)

/** Encodes and compresses the content. */
@OptIn(ExperimentalSerializationApi::class)
internal fun ExchangeContent.encode(): ByteArray {
    // Level 1: an entry of half a core answers tens of exchanges a second.
    val deflater = Deflater(Deflater.BEST_SPEED)
    try {
        deflater.setInput(exchangeCbor.encodeToByteArray(this))
        deflater.finish()
        val compressed = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (!deflater.finished()) compressed.write(buffer, 0, deflater.deflate(buffer))
        return compressed.toByteArray()
    } finally {
        deflater.end()
    }
}

/** Decodes a request; passes the reason to [onError] if that fails. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeRequest(body: ByteArray, onError: (String?) -> Unit): ExchangeRequest? =
    decodeOrNull(onError) { exchangeCbor.decodeFromByteArray<ExchangeRequest>(body) }

/** Decodes an answer; passes the reason to [onError] if that fails. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeAnswer(body: ByteArray, onError: (String?) -> Unit): ExchangeAnswer? =
    decodeOrNull(onError) { exchangeCbor.decodeFromByteArray<ExchangeAnswer>(body) }

/** Decodes the content of an answer; passes the reason to [onError] if that fails. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeContent(content: ByteArray, onError: (String?) -> Unit): ExchangeContent? =
    decodeOrNull(onError) { exchangeCbor.decodeFromByteArray<ExchangeContent>(inflate(content)) }

private inline fun <T> decodeOrNull(onError: (String?) -> Unit, decode: () -> T): T? = try {
    decode()
} catch (e: SerializationException) {
    onError(e.message)
    null
} catch (e: DataFormatException) {
    onError(e.message)
    null
}

private fun inflate(compressed: ByteArray): ByteArray {
    val inflater = Inflater()
    try {
        inflater.setInput(compressed)
        val content = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (!inflater.finished()) {
            val count = inflater.inflate(buffer)
            if (count == 0) throw DataFormatException("content is cut")
            content.write(buffer, 0, count)
            if (content.size() > MAX_CONTENT_BYTES) throw DataFormatException("content too long")
        }
        return content.toByteArray()
    } finally {
        inflater.end()
    }
}

private const val BUFFER_BYTES = 8_192

/** Bounds the memory for one answer; 300 reports of 10 kB take 3 MB. */
private const val MAX_CONTENT_BYTES = 8 * 1_048_576
