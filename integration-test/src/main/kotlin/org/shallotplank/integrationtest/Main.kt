package org.shallotplank.integrationtest

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import java.util.concurrent.CountDownLatch
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import org.shallotplank.core.Address

/** Exit status of an upstream that crashed on a request. */
internal const val CRASH_EXIT_STATUS: Int = 70

/** Runs one stand-in, named by the first of [args], until the process is stopped. */
public fun main(args: Array<String>): Unit = NoOpCliktCommand(name = "stand-in")
    .subcommands(PlatformCommand(), EngineCommand(), PlainServiceCommand())
    .main(args)

/** A subcommand that serves on an address until the process is stopped. */
private abstract class ServeCommand(name: String) : CliktCommand(name) {
    private val listen by option(help = "IP:PORT to listen on; port 0 takes a free one")
        .convert { text -> Address(text.substringBefore(':'), text.substringAfter(':').toInt()) }
        .default(anyLoopbackPort)

    /** Starts the stand-in and returns the address that it listens on. */
    abstract fun start(listen: Address): Address

    override fun run() {
        echo("listening on ${start(listen)}")
        CountDownLatch(1).await()
    }
}

private class PlatformCommand : ServeCommand("platform") {
    private val instanceLagMillis by option().long().default(0)

    override fun start(listen: Address): Address =
        PlatformStandIn(listen, instanceLagMillis.milliseconds).address
}

private class EngineCommand : ServeCommand("engine") {
    private val defaults = EngineSettings()
    private val maxBatch by option().int().default(defaults.maxBatch)
    private val coldConcurrency by option().int().default(defaults.coldConcurrency)
    private val warmAfterTokens by option().int().default(defaults.warmAfterTokens)
    private val startWarm by option().flag()
    private val loadLagMillis by option().long().default(defaults.loadLag.inWholeMilliseconds)
    private val ignoreFencing by option().flag()
    private val exitOnCrash by option().flag()

    override fun start(listen: Address): Address = EngineStandIn(
        listen = listen,
        settings = defaults.copy(
            maxBatch = maxBatch,
            coldConcurrency = coldConcurrency,
            warmAfterTokens = warmAfterTokens,
            startWarm = startWarm,
            loadLag = loadLagMillis.milliseconds,
            checksFencing = !ignoreFencing
        ),
        firstIncarnation = Clock.System.now().toEpochMilliseconds(),
        onCrash = crashAction(exitOnCrash)
    ).address
}

private class PlainServiceCommand : ServeCommand("plain-service") {
    private val startWarm by option().flag()
    private val exitOnCrash by option().flag()

    override fun start(listen: Address): Address = PlainServiceStandIn(
        listen = listen,
        settings = PlainServiceSettings(startWarm = startWarm),
        firstIncarnation = Clock.System.now().toEpochMilliseconds(),
        onCrash = crashAction(exitOnCrash)
    ).address
}

private fun crashAction(exitOnCrash: Boolean): () -> Unit =
    if (exitOnCrash) ({ Runtime.getRuntime().halt(CRASH_EXIT_STATUS) }) else ({})
