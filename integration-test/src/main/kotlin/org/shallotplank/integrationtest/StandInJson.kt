package org.shallotplank.integrationtest

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.plugins.BadRequestException
import io.ktor.server.request.receive
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** JSON format of all external systems: snake-case names, absent fields omitted. */
@OptIn(ExperimentalSerializationApi::class)
internal val standInJson: Json = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    encodeDefaults = true
    explicitNulls = false
}

/** Answer of `GET /readyz`. */
@Serializable
internal data class Ready(val ready: Boolean = true)

/** Answer to a successful call that returns no data. */
@Serializable
internal data class Accepted(val accepted: Boolean = true)

/** Answer to a refused call. */
@Serializable
internal data class Refused(val error: String)

/** Decodes the request body as a [T]; throws for a malformed body, which is answered with 400. */
internal suspend inline fun <reified T> RoutingContext.receiveJson(): T {
    val text = call.receive<ByteArray>().decodeToString()
    return try {
        standInJson.decodeFromString<T>(text)
    } catch (e: SerializationException) {
        throw BadRequestException("malformed body", e)
    }
}

/** Answers with [body]. */
internal suspend inline fun <reified T> RoutingContext.respondJson(
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK
) {
    call.respondText(standInJson.encodeToString(body), ContentType.Application.Json, status)
}
