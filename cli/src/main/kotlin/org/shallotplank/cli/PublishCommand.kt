package org.shallotplank.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.path
import java.util.UUID
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.shallotplank.config.readConfigurationFiles
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.config.Configuration
import org.shallotplank.runtime.configuration.Publication
import org.shallotplank.runtime.configuration.Publisher
import org.shallotplank.runtime.log.configureLogging
import org.shallotplank.runtime.platform.httpPlatform

/** Checks a directory and puts it in force as a new configuration version. */
internal class PublishCommand : CliktCommand(name = "publish") {
    private val directory by argument("DIR", help = "Directory to publish")
        .path(mustExist = true, canBeFile = false)
    private val platform by option(
        "--platform",
        metavar = "IP:PORT",
        envvar = "SHALLOTPLANK_PLATFORM",
        help = "Address of the platform"
    ).convert { parseAddress(it) }.required()
    private val admins by option(
        "--wait",
        metavar = "IP:PORT",
        help = "Admin address of an entry to wait for; may be given several times"
    ).convert { parseAddress(it) }.multiple()
    private val waitSeconds by option(
        "--wait-seconds",
        metavar = "N",
        help = "Longest wait, in seconds; 8 by default"
    ).int().default(DEFAULT_WAIT_SECONDS)

    override fun help(context: Context): String =
        "Check a directory and put it in force as a new configuration version."

    override fun run() {
        configureLogging(level = "warn")
        val configuration = acceptedOrFail(
            readConfigurationFiles(listOf(directory)),
            ExitStatus.FAILED
        )
        val version = publish(configuration)
        echo("published version $version")
        if (admins.isNotEmpty()) waitFor(version)
    }

    private fun publish(configuration: Configuration): ConfigurationVersion {
        val publisher = Publisher(httpPlatform(platform), UUID.randomUUID().toString())
        return when (val publication = runBlocking { publisher.publish(configuration) }) {
            is Publication.Accepted -> publication.version
            is Publication.Superseded -> fail(
                ExitStatus.FAILED,
                "superseded, nothing published: version ${publication.winner} won"
            )
            Publication.Unavailable ->
                fail(ExitStatus.UNAVAILABLE, "the platform does not answer; nothing published")
            is Publication.Unknown -> fail(
                ExitStatus.UNAVAILABLE,
                "the platform did not confirm whether version ${publication.version} was " +
                    "accepted; check 'shallotplank status' before publishing again"
            )
        }
    }

    private fun waitFor(version: ConfigurationVersion) {
        val progress = InForceProgress(AdminClient(), admins)
        val start = TimeSource.Monotonic.markNow()
        var counts = progress.count(version)
        while (!counts.isEverywhere && start.elapsedNow() < waitSeconds.seconds) {
            runBlocking { delay(POLL_INTERVAL) }
            counts = progress.count(version)
        }
        echo("in force at ${counts.inForce} of ${counts.total} processes")
        if (!counts.isEverywhere) throw ProgramResult(ExitStatus.UNAVAILABLE.code)
    }

    private companion object {
        const val DEFAULT_WAIT_SECONDS = 8
        val POLL_INTERVAL = 100.milliseconds
    }
}
