package org.shallotplank.runtime.platform

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
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
        val response = client.get(url("table", key))
        when {
            response.status.isSuccess() -> response.item().let {
                TableRead.Found(it.version, it.value)
            }
            response.status == HttpStatusCode.NotFound -> TableRead.Found(0, value = null)
            else -> TableRead.Unavailable
        }
    } ?: TableRead.Unavailable

    suspend fun writeItem(item: TableItem): TableWrite = call {
        val response = client.put(url("table", item.key)) {
            contentType(ContentType.Application.Json)
            setBody(platformJson.encodeToString(WriteBody(item.expectedVersion, item.value)))
        }
        when {
            response.status.isSuccess() -> TableWrite.Written(response.item().version)
            response.status == HttpStatusCode.Conflict -> response.item().let {
                TableWrite.Conflict(it.version, it.value)
            }
            else -> TableWrite.Unknown
        }
    } ?: TableWrite.Unknown

    suspend fun readObject(name: String): String? = call {
        val response = client.get(url("objects", name))
        if (response.status.isSuccess()) response.bodyAsText() else null
    }

    suspend fun writeObject(name: String, content: String): Boolean = call {
        client.put(url("objects", name)) { setBody(content) }.status.isSuccess()
    } ?: false

    suspend fun listInstances(): PersistentList<Instance>? = call {
        val response = client.get("http://$address/instances")
        if (!response.status.isSuccess()) return@call null
        val list = platformJson.decodeFromString<InstanceList>(response.bodyAsText())
        list.instances.toPersistentList()
    }

    private fun url(kind: String, name: String): String =
        "http://$address/$kind/${name.encodeURLPathPart()}"

    private suspend fun HttpResponse.item(): ItemBody =
        platformJson.decodeFromString<ItemBody>(bodyAsText())

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
