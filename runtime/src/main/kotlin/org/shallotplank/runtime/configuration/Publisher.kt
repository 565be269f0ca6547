package org.shallotplank.runtime.configuration

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.delay
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.config.Configuration
import org.shallotplank.runtime.platform.PlatformPorts
import org.shallotplank.runtime.platform.TableWrite

/** Outcome of publishing a configuration. */
public sealed interface Publication {
    /** The configuration was accepted as [version]. */
    public data class Accepted(val version: ConfigurationVersion) : Publication

    /** A concurrent publish run wrote [winner] first; this run published nothing. */
    public data class Superseded(val winner: ConfigurationVersion) : Publication

    /** The platform did not answer; nothing was published. */
    public data object Unavailable : Publication

    /** The platform did not confirm whether [version] was accepted; `status` shows it later. */
    public data class Unknown(val version: ConfigurationVersion) : Publication
}

/**
 * Publishes configurations with one conditional write of the manifest's key.
 *
 * [publicationId] must be unique among publish runs: when the answer to the write is lost, the
 * publisher reads the key back and compares this id with that of the run that wrote the version.
 */
public class Publisher(platform: PlatformPorts, private val publicationId: String) {
    private val store = ManifestStore(platform)

    /** Publishes [configuration] as the version after the stored one. */
    public suspend fun publish(configuration: Configuration): Publication {
        val present = store.readPublished()
        if (present !is PublishedRead.Found) return Publication.Unavailable
        val sections = ConfigurationSections.split(configuration)
        val stored = sections.all { store.writeSection(it) }
        if (!stored) return Publication.Unavailable
        val version = ConfigurationVersion(present.version.value + 1)
        val manifest = ConfigurationSections.manifest(version, sections)
        val published = PublishedManifest(manifest, present.publicationsWith(version))
        return when (store.write(present.version, published)) {
            is TableWrite.Written -> Publication.Accepted(version)
            is TableWrite.Conflict -> Publication.Superseded(version)
            TableWrite.Unknown -> resolveLostAnswer(version)
        }
    }

    private fun PublishedRead.Found.publicationsWith(
        version: ConfigurationVersion
    ): List<PublicationEntry> {
        val earlier = published?.publications.orEmpty().takeLast(MAX_PUBLICATIONS - 1)
        return earlier + PublicationEntry(version, publicationId)
    }

    private suspend fun resolveLostAnswer(version: ConfigurationVersion): Publication {
        repeat(READ_BACK_ATTEMPTS) {
            resolve(version)?.let { return it }
            delay(READ_BACK_INTERVAL)
        }
        return Publication.Unknown(version)
    }

    /** Reads the key back; returns null while it does not show which run wrote [version]. */
    private suspend fun resolve(version: ConfigurationVersion): Publication? {
        val read = store.readPublished() as? PublishedRead.Found ?: return null
        val writer = read.published?.publications?.firstOrNull { it.version == version }
        return when (writer?.publicationId) {
            null -> null
            publicationId -> Publication.Accepted(version)
            else -> Publication.Superseded(version)
        }
    }

    private companion object {
        const val MAX_PUBLICATIONS = 64
        const val READ_BACK_ATTEMPTS = 10
        val READ_BACK_INTERVAL = 300.milliseconds
    }
}
