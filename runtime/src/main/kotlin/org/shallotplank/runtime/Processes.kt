package org.shallotplank.runtime

import java.nio.file.Path
import kotlin.io.path.readBytes
import org.shallotplank.config.AgentSettings
import org.shallotplank.config.EntrySettings
import org.shallotplank.runtime.agent.AgentProcess
import org.shallotplank.runtime.agent.httpUpstream
import org.shallotplank.runtime.entry.EntryProcess
import org.shallotplank.runtime.log.configureLogging
import org.shallotplank.runtime.log.tinylogWriter
import org.shallotplank.runtime.platform.httpPlatform
import org.shallotplank.wire.ClusterKey

/**
 * Runs an entry instance until it has stopped gracefully.
 *
 * Throws an IOException when the cluster key cannot be read or an address is in use, and an
 * IllegalArgumentException when the cluster key is too short.
 */
public fun runEntry(settings: EntrySettings) {
    configureLogging(settings.logLevel.name)
    val context = ProcessContext(writer = tinylogWriter(), metrics = Metrics())
    val key = readClusterKey(settings.clusterKeyFile)
    val platform = httpPlatform(settings.platformAddress)
    val process = EntryProcess(settings, key, platform, context)
    runUntilStopped(process, context, settings.drainTimeout)
}

/** Runs an agent until it has stopped gracefully; throws like [runEntry]. */
public fun runAgent(settings: AgentSettings) {
    configureLogging(settings.logLevel.name)
    val context = ProcessContext(writer = tinylogWriter(), metrics = Metrics())
    val key = readClusterKey(settings.clusterKeyFile)
    val platform = httpPlatform(settings.platformAddress)
    val upstream = httpUpstream(settings.upstreamAddress)
    val process = AgentProcess(settings, key, platform, upstream, context)
    runUntilStopped(process, context, settings.drainTimeout)
}

/** The content of the file is the key, so any file with enough random bytes can be used. */
private fun readClusterKey(file: String): ClusterKey = ClusterKey(Path.of(file).readBytes())
