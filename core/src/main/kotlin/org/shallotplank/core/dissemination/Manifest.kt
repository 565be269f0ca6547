package org.shallotplank.core.dissemination

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import org.shallotplank.core.ConfigurationVersion
import org.shallotplank.core.config.SerializableList

/** Name of a section of the published configuration, such as `service/order-app`. */
@Serializable
@JvmInline
public value class SectionName(public val value: String) {
    override fun toString(): String = value
}

/** Reference to one section of the published configuration; [sha256] names its content. */
@Serializable
public data class Section(val name: SectionName, val sha256: Sha256, val sizeBytes: Int)

/**
 * List of the sections of one published configuration.
 *
 * The table holds the newest manifest under a single key. A version is accepted by a conditional
 * write of that key, so each version has exactly one manifest. The contents of the sections are
 * stored in the object store and held by the processes that use them.
 */
@Serializable
public data class Manifest(
    val version: ConfigurationVersion,
    val sections: SerializableList<Section>
) {
    /** The section with the name [name], or null. */
    public fun section(name: SectionName): Section? = sections.firstOrNull { it.name == name }

    /** The change from [base] to this manifest; holds all sections when [base] is null. */
    public fun deltaFrom(base: Manifest?): ManifestDelta {
        val before = base?.sections.orEmpty().associateBy { it.name }
        val names = sections.mapTo(HashSet()) { it.name }
        return ManifestDelta(
            base = base?.version ?: ConfigurationVersion.None,
            version = version,
            changed = sections.filter { before[it.name] != it }.toPersistentList(),
            removed = before.keys.filter { it !in names }.toPersistentList()
        )
    }
}

/** The sections that differ between the manifests of the versions [base] and [version]. */
@Serializable
public data class ManifestDelta(
    val base: ConfigurationVersion,
    val version: ConfigurationVersion,
    val changed: SerializableList<Section> = persistentListOf(),
    val removed: SerializableList<SectionName> = persistentListOf()
) {
    /** Whether [applyTo] accepts [manifest]. */
    public fun appliesTo(manifest: Manifest?): Boolean =
        base == ConfigurationVersion.None || base == manifest?.version

    /**
     * Applies this change to [manifest] and returns the manifest of [version].
     *
     * A delta whose base is [ConfigurationVersion.None] holds all sections and replaces
     * [manifest]. Returns null if [manifest] has another version than [base].
     */
    public fun applyTo(manifest: Manifest?): Manifest? {
        if (!appliesTo(manifest)) return null
        val isComplete = base == ConfigurationVersion.None
        val before = if (isComplete) emptyList() else manifest?.sections.orEmpty()
        val replaced = changed.mapTo(HashSet()) { it.name } + removed
        val kept = before.filter { it.name !in replaced }
        val sections = (kept + changed).sortedBy { it.name.value }
        return Manifest(version, sections.toPersistentList())
    }
}
