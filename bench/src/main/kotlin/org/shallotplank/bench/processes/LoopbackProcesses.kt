package org.shallotplank.bench.processes

import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText

/** An entry or agent that runs as a separate process. */
internal class MeasuredProcess(val name: String, val pid: Long, val url: String)

/** A stand-in for an upstream, and its agent. */
internal class MeasuredUpstream(val url: String, val agent: MeasuredProcess)

/**
 * Runs the whole system on loopback in separate processes, without proxies between them.
 *
 * The processes run the packaged command with the options of `scripts/build`; the jars of the
 * modules cli and integration-test must exist.
 */
internal class LoopbackProcesses : AutoCloseable {
    private val directory = Files.createTempDirectory("shallotplank-bench")
    private val processes = mutableListOf<Process>()
    private val client = HttpClient.newHttpClient()
    private val keyFile = directory.resolve("cluster.key").also { it.writeText(CLUSTER_KEY) }
    private val platform = startStandIn("platform")

    /** Publishes [files], which maps file names to contents. */
    fun publish(files: Map<String, String>) {
        val published = Files.createDirectory(directory.resolve("published"))
        files.forEach { (name, content) -> published.resolve(name).writeText(content) }
        val process = start(
            "publish",
            COMMAND + listOf("publish", "--platform", platform, "$published")
        )
        check(process.waitFor(START_SECONDS, TimeUnit.SECONDS) && process.exitValue() == 0) {
            "publish failed or timed out; see $directory"
        }
    }

    /** Starts an entry instance in [zone]. */
    fun startEntry(name: String, zone: String): MeasuredProcess {
        val address = freeAddress()
        val settings = settings(name, zone) + mapOf(
            "listen_address" to address,
            "peer_address" to freeAddress()
        )
        val instance = instance(name, "ENTRY", zone, settings.getValue("peer_address"))
        register(name, """$instance,"public_address":${json(address)}}""")
        return startCommand("entry", name, settings, url = "http://$address")
    }

    /** Starts a stand-in of [kind] that serves [service] in [zone], then its agent. */
    fun startUpstream(kind: String, name: String, service: String, zone: String): MeasuredUpstream {
        val upstream = startStandIn(kind, "--start-warm")
        val settings = settings(name, zone) + mapOf(
            "listen_address" to freeAddress(),
            "upstream_address" to upstream,
            "service" to service
        )
        val instance = instance(name, "UPSTREAM", zone, settings.getValue("listen_address"))
        register(name, """$instance,"service":"$service"}""")
        val agent = startCommand("agent", name, settings, url = "http://$upstream")
        return MeasuredUpstream(url = "http://$upstream", agent)
    }

    override fun close() {
        processes.forEach { it.destroyForcibly() }
        processes.forEach { it.waitFor() }
    }

    private fun startStandIn(kind: String, vararg options: String): String {
        val address = freeAddress()
        start(kind, STAND_IN + listOf(kind, "--listen", address) + options)
        awaitReady(address)
        return address
    }

    private fun startCommand(
        command: String,
        name: String,
        settings: Map<String, String>,
        url: String
    ): MeasuredProcess {
        val file = directory.resolve("$name.toml")
        file.writeText(settings.entries.joinToString("\n") { (key, value) -> "$key = \"$value\"" })
        val process = start(name, COMMAND + listOf(command, "--settings", "$file"))
        awaitReady(settings.getValue("admin_address"))
        return MeasuredProcess(name, process.pid(), url)
    }

    private fun start(name: String, command: List<String>): Process {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        return ProcessBuilder(listOf(java) + command)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("$name.log").toFile())
            .start()
            .also { processes += it }
    }

    private fun settings(name: String, zone: String) = mapOf(
        "instance_id" to name,
        "zone" to zone,
        "region" to REGION,
        "admin_address" to freeAddress(),
        "platform_address" to platform,
        "cluster_key_file" to "$keyFile"
    )

    private fun instance(name: String, role: String, zone: String, address: String): String =
        """{"id":"$name","role":"$role","zone":"$zone","region":"$REGION",""" +
            """"state":"LIVE","address":${json(address)}"""

    private fun json(address: String): String {
        val (host, port) = address.split(':')
        return """{"host":"$host","port":$port}"""
    }

    private fun register(name: String, instance: String) {
        val request = HttpRequest.newBuilder(URI("http://$platform/instances/$name"))
            .PUT(HttpRequest.BodyPublishers.ofString(instance))
            .header("Content-Type", "application/json")
        val status = client.send(request.build(), BodyHandlers.discarding()).statusCode()
        check(status in SUCCESS) { "the platform answered $status to the registration of $name" }
    }

    private fun awaitReady(address: String) {
        val request = HttpRequest.newBuilder(URI("http://$address/readyz")).build()
        repeat(START_SECONDS.toInt() * POLLS_PER_SECOND) {
            val isReady = runCatching {
                client.send(request, BodyHandlers.discarding()).statusCode() in SUCCESS
            }
            if (isReady.getOrDefault(false)) return
            Thread.sleep(1_000L / POLLS_PER_SECOND)
        }
        error("the process at $address was not ready within $START_SECONDS s; see $directory")
    }

    private fun freeAddress(): String =
        ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)).use { "$LOOPBACK:${it.localPort}" }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val REGION = "windhoek"
        const val START_SECONDS = 60L
        const val POLLS_PER_SECOND = 10
        const val CLUSTER_KEY = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
        const val VERSION = "0.1.0-SNAPSHOT"
        val SUCCESS = 200..299
        val COMMAND = listOf(
            "-Xmx160m",
            "-XX:+UseSerialGC",
            "-XX:ActiveProcessorCount=2",
            "-jar",
            "cli/target/shallotplank-cli-$VERSION.jar"
        )
        val STAND_IN = listOf(
            "-jar",
            "integration-test/target/shallotplank-integration-test-$VERSION.jar"
        )
    }
}
