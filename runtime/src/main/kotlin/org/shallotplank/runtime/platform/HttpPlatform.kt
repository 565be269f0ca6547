package org.shallotplank.runtime.platform

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.prepareGet
import io.ktor.client.request.preparePut
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy
import org.shallotplank.core.Address
import org.shallotplank.core.Instance
import org.shallotplank.runtime.textUpTo

/**
 * Returns ports that call the platform at [address] over HTTP.
 *
 * `docs/outside-systems.md` describes the protocol.
 */
public fun httpPlatform(address: Address, timeout: Duration = PLATFORM_TIMEOUT): PlatformPorts {
    val platform = HttpPlatform(address, timeout)
    return PlatformPorts(
        readItem = platform::readItem,
        writeItem = platform::writeItem,
        readObject = platform::readObject,
        writeObject = platform::writeObject,
        listInstances = platform::listInstances
    )
}

private class HttpPlatform(private val address: Address, timeout: Duration) {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) {
            requestTimeoutMillis = timeout.inWholeMilliseconds
            connectTimeoutMillis = timeout.inWholeMilliseconds
        }
    }

    suspend fun readItem(key: String): TableRead = call {
        client.prepareGet(url("table", key)).execute { response ->
            when {
                response.status.isSuccess() -> response.item().let {
                    TableRead.Found(it.version, it.value)
                }
                response.status == HttpStatusCode.NotFound -> TableRead.Found(0, value = null)
                else -> TableRead.Unavailable
            }
        }
    } ?: TableRead.Unavailable

    suspend fun writeItem(item: TableItem): TableWrite = call {
        client.preparePut(url("table", item.key)) {
            contentType(ContentType.Application.Json)
            setBody(platformJson.encodeToString(WriteBody(item.expectedVersion, item.value)))
        }.execute { response ->
            when {
                response.status.isSuccess() -> TableWrite.Written(response.item().version)
                response.status == HttpStatusCode.Conflict -> response.item().let {
                    TableWrite.Conflict(it.version, it.value)
                }
                else -> TableWrite.Unknown
            }
        }
    } ?: TableWrite.Unknown

    suspend fun readObject(name: String): String? = call {
        client.prepareGet(url("objects", name)).execute { it.successfulText() }
    }

    suspend fun writeObject(name: String, content: String): Boolean = call {
        client.preparePut(url("objects", name)) { setBody(content) }
            .execute { it.status.isSuccess() }
    } ?: false

    suspend fun listInstances(): PersistentList<Instance>? = call {
        val text = client.prepareGet("http://$address/instances").execute { it.successfulText() }
        val list = text?.let { platformJson.decodeFromString<InstanceList>(it) }
        list?.instances?.toPersistentList()
    }

    private fun url(kind: String, name: String): String =
        "http://$address/$kind/${name.encodeURLPathPart()}"

    private suspend fun HttpResponse.item(): ItemBody =
        platformJson.decodeFromString<ItemBody>(textUpTo(MAX_ANSWER_BYTES))

    private suspend fun HttpResponse.successfulText(): String? =
        if (status.isSuccess()) textUpTo(MAX_ANSWER_BYTES) else null

    /** Returns null on any failure of the call. */
    private suspend fun <T> call(block: suspend () -> T?): T? = try {
        block()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        null
    }
}

@Serializable
private data class ItemBody(val version: Long, val value: String? = null)

@Serializable
private data class WriteBody(
    @SerialName("expected_version") val expectedVersion: Long,
    val value: String
)

@Serializable
private data class InstanceList(val instances: List<Instance>)

@OptIn(ExperimentalSerializationApi::class)
private val platformJson = Json {
    ignoreUnknownKeys = true
    namingStrategy = JsonNamingStrategy.SnakeCase
}

private val PLATFORM_TIMEOUT = 1.seconds

/** Several times the largest object, a whole configuration. */
private const val MAX_ANSWER_BYTES = 16L * 1_048_576
