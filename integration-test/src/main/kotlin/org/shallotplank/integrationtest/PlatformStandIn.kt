package org.shallotplank.integrationtest

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receive
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.plus
import kotlinx.coroutines.delay
import org.shallotplank.core.Address
import org.shallotplank.core.Instance
import org.shallotplank.core.InstanceId

/** Stand-in for the platform: table service, object store and instance list with a lag. */
internal class PlatformStandIn(
    listen: Address = anyLoopbackPort,
    instanceLag: Duration = Duration.ZERO,
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic
) : AutoCloseable {
    private val table = TableStore()
    private val objects = ConcurrentHashMap<String, ByteArray>()
    private val instances =
        LaggedView<PersistentMap<String, Instance>>(persistentMapOf(), instanceLag, timeSource)
    private val switches = PlatformFaultSwitches()
    private val server = startServer(listen) {
        tableRoutes()
        objectRoutes()
        instanceRoutes()
        controlRoutes()
    }

    val address: Address = server.address
    val url: String = server.url

    /** Switches faults on or off. */
    fun inject(faults: PlatformFaults) {
        faults.instanceLagMillis?.let { instances.lag = it.milliseconds }
        switches.apply(faults)
    }

    /** Adds [instance] to the list, or replaces the one with its id. */
    fun register(instance: Instance): Unit =
        changeInstances { it + (instance.id.value to instance) }

    /** Removes the instance [id] from the list. */
    fun deregister(id: InstanceId): Unit = changeInstances { it - id.value }

    override fun close(): Unit = server.close()

    private fun Route.tableRoutes() {
        get("/table") { reading { listRows() } }
        get("/table/{key...}") { reading { readRow(pathTail("key")) } }
        put("/table/{key...}") { writing { writeRow(pathTail("key")) } }
        post("/table") { writing { commitTransaction() } }
    }

    private suspend fun RoutingContext.listRows() {
        val prefix = call.request.queryParameters["prefix"].orEmpty()
        val limit = call.request.queryParameters["limit"]?.toIntOrNull() ?: Int.MAX_VALUE
        respondJson(TableItems(table.list(prefix, limit)))
    }

    private suspend fun RoutingContext.readRow(key: String) {
        val item = table.read(key)
        val status = if (item.version == 0L) HttpStatusCode.NotFound else HttpStatusCode.OK
        respondJson(item, status)
    }

    private suspend fun RoutingContext.writeRow(key: String) {
        val body = receiveJson<PutRequest>()
        val write = ConditionalWrite(key, body.expectedVersion, body.value)
        when (val result = table.commit(listOf(write))) {
            is CommitResult.Committed ->
                answerWrite { respondJson(PutAnswer(key, result.items.single().version)) }
            is CommitResult.Conflict ->
                respondJson(result.items.single(), HttpStatusCode.Conflict)
        }
    }

    private suspend fun RoutingContext.commitTransaction() {
        when (val result = table.commit(receiveJson<TransactionRequest>().writes)) {
            is CommitResult.Committed ->
                answerWrite { respondJson(TransactionAnswer(result.items.map { it.version })) }
            is CommitResult.Conflict ->
                respondJson(TransactionConflict(result.items), HttpStatusCode.Conflict)
        }
    }

    private fun Route.objectRoutes() {
        put("/objects/{name...}") {
            writing {
                objects[pathTail("name")] = call.receive<ByteArray>()
                answerWrite { respondJson(Accepted(), HttpStatusCode.Created) }
            }
        }
        get("/objects/{name...}") { reading { readObject(pathTail("name")) } }
    }

    private suspend fun RoutingContext.readObject(name: String) {
        val bytes = objects[name]
        if (bytes == null) {
            respondJson(Refused("no such object"), HttpStatusCode.NotFound)
        } else {
            call.respondBytes(bytes, ContentType.Application.OctetStream)
        }
    }

    private fun Route.instanceRoutes() {
        get("/instances") {
            reading { respondJson(InstanceList(instances.read().values.toList())) }
        }
        put("/instances/{id}") {
            register(receiveJson<Instance>())
            respondJson(Accepted())
        }
        delete("/instances/{id}") {
            deregister(InstanceId(pathTail("id")))
            respondJson(Accepted())
        }
    }

    private fun changeInstances(
        change: (PersistentMap<String, Instance>) -> PersistentMap<String, Instance>
    ) = synchronized(instances) { instances.update(change(instances.latest)) }

    private fun Route.controlRoutes() {
        post("/faults") {
            inject(receiveJson<PlatformFaults>())
            respondJson(Accepted())
        }
        get("/stats") { respondJson(switches.stats()) }
    }

    private suspend fun RoutingContext.reading(read: suspend () -> Unit) {
        switches.countRead()
        serve(read)
    }

    private suspend fun RoutingContext.writing(write: suspend () -> Unit) {
        switches.countWrite()
        serve(write)
    }

    private suspend fun RoutingContext.serve(action: suspend () -> Unit) {
        delay(switches.slowness)
        if (switches.outage) {
            respondJson(Refused("outage"), HttpStatusCode.ServiceUnavailable)
        } else {
            action()
        }
    }

    private suspend fun RoutingContext.answerWrite(answer: suspend () -> Unit) {
        if (switches.takeLostAnswer()) abortConnection() else answer()
    }
}

private fun RoutingContext.pathTail(name: String): String =
    call.parameters.getAll(name).orEmpty().joinToString("/")
