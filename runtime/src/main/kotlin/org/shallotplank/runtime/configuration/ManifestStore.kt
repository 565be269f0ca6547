package org.shallotplank.runtime.configuration

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.dissemination.Manifest
import org.shallotplank.core.dissemination.Sha256
import org.shallotplank.core.dissemination.TableReadResult
import org.shallotplank.runtime.platform.PlatformPorts
import org.shallotplank.runtime.platform.TableItem
import org.shallotplank.runtime.platform.TableRead
import org.shallotplank.runtime.platform.TableWrite

/** The stored value: the manifest and its latest [publications], oldest first. */
@Serializable
internal data class PublishedManifest(
    val manifest: Manifest,
    val publications: List<PublicationEntry>
)

/** Id of the publish run that wrote a version. */
@Serializable
internal data class PublicationEntry(val version: ConfigurationVersion, val publicationId: String)

/** Stores the newest manifest under one key of the table and sections in the object store. */
internal class ManifestStore(private val platform: PlatformPorts) {
    /**
     * Reads the newest manifest for dissemination.
     *
     * An absent key counts as unchanged, a value that cannot be decoded as unavailable.
     */
    suspend fun read(): TableReadResult = when (val read = platform.readItem(KEY)) {
        TableRead.Unavailable -> TableReadResult.Unavailable
        is TableRead.Found -> {
            val text = read.value
            val published = text?.let(::decode)
            when {
                text == null -> TableReadResult.Unchanged
                published == null -> TableReadResult.Unavailable
                else -> TableReadResult.Found(published.manifest)
            }
        }
    }

    /**
     * Reads the manifest with its publications.
     *
     * [PublishedRead.Found.published] is null when the key is absent or cannot be decoded.
     */
    suspend fun readPublished(): PublishedRead = when (val read = platform.readItem(KEY)) {
        TableRead.Unavailable -> PublishedRead.Unavailable
        is TableRead.Found -> PublishedRead.Found(
            version = ConfigurationVersion(read.version),
            published = read.value?.let(::decode)
        )
    }

    /** Writes [published] if the key is still at version [expected]. */
    suspend fun write(expected: ConfigurationVersion, published: PublishedManifest): TableWrite =
        platform.writeItem(TableItem(KEY, expected.value, json.encodeToString(published)))

    /** Returns the content of the section with [sha256], or null on any failure. */
    suspend fun readSection(sha256: Sha256): String? = platform.readObject(objectName(sha256))

    /** Stores a section under its hash; returns whether the platform confirmed it. */
    suspend fun writeSection(content: SectionContent): Boolean =
        platform.writeObject(objectName(content.section.sha256), content.content)

    private fun objectName(sha256: Sha256): String = "configuration-$sha256"

    private fun decode(text: String): PublishedManifest? = try {
        json.decodeFromString<PublishedManifest>(text)
    } catch (e: SerializationException) {
        null
    }

    private companion object {
        const val KEY = "configuration"
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** Outcome of [ManifestStore.readPublished]. */
internal sealed interface PublishedRead {
    data class Found(val version: ConfigurationVersion, val published: PublishedManifest?) :
        PublishedRead

    data object Unavailable : PublishedRead
}
