package org.shallotplank.cli

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlinx.serialization.SerializationException
import org.shallotplank.core.Address
import org.shallotplank.gateway.where.WhereAnswer
import org.shallotplank.gateway.where.WhereQuery

/** Reply of a gateway entry to a question. */
internal sealed interface WhereReply {
    data class Answered(val answer: WhereAnswer) : WhereReply

    /** The entry cannot read the question. */
    data class WrongQuestion(val detail: String) : WhereReply

    /** The entry does not answer, or its answer is of another kind. */
    data class Unavailable(val detail: String) : WhereReply
}

/** Asks gateway entries at their metrics addresses. */
internal class WhereClient {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(TIMEOUT)
        .build()

    fun ask(entry: Address, parameters: Map<String, String?>): WhereReply = try {
        val uri = URI("http://$entry${WhereQuery.target(parameters)}")
        val request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build()
        // The timeout of the request ends with the head of the answer.
        val answer = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
            .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        when (answer.statusCode()) {
            OK -> WhereReply.Answered(WhereAnswer.decode(answer.body()))
            BAD_REQUEST -> WhereReply.WrongQuestion(
                answer.body().ifEmpty { "the entry cannot read the question; it may be too long" }
            )
            else -> WhereReply.Unavailable("answered with status ${answer.statusCode()}")
        }
    } catch (e: ExecutionException) {
        WhereReply.Unavailable("no answer: ${e.cause?.message ?: e.cause}")
    } catch (e: TimeoutException) {
        WhereReply.Unavailable("no whole answer within ${TIMEOUT.toSeconds()} s")
    } catch (e: SerializationException) {
        // An entry of an older build answers with its metrics.
        WhereReply.Unavailable("not the metrics address of an entry that knows this command")
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(2)
        const val OK = 200
        const val BAD_REQUEST = 400
    }
}
