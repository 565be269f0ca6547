package org.shallotplank.cli

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.shallotplank.core.Address
import org.shallotplank.runtime.admin.ProcessStatus

/** Reads the status of processes at their admin addresses. */
internal class AdminClient {
    private val client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()

    /** Status of the process at [address]; null if it does not answer with a valid status. */
    fun status(address: Address): ProcessStatus? = try {
        val request = HttpRequest.newBuilder(URI("http://$address/status")).timeout(TIMEOUT)
        val answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
        json.decodeFromString<ProcessStatus>(answer.body())
    } catch (e: IOException) {
        null
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(2)
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** Parses `IP:PORT`; throws an IllegalArgumentException that names the expected form. */
internal fun parseAddress(text: String): Address {
    val port = text.substringAfterLast(':', "").toIntOrNull()
    val host = text.substringBeforeLast(':', "")
    require(port != null && port in 1..MAX_PORT && host.isNotEmpty()) {
        "expected IP:PORT, found $text"
    }
    return Address(host, port)
}

private const val MAX_PORT = 65_535
