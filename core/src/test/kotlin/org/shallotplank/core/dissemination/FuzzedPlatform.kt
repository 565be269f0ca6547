package org.shallotplank.core.dissemination

import kotlinx.collections.immutable.toPersistentList
import org.shallotplank.core.ConfigurationVersion

/** Fake of the table's manifest key and of the object store, with outages and lost answers. */
internal class FuzzedPlatform {
    /** Accepted manifests; that of version n is at index n - 1. */
    val accepted = mutableListOf<Manifest>()
    var isOut = false
    var answersToLose = 0
    var outages = 0
        private set
    private val objects = mutableMapOf<Sha256, String>()

    val version: ConfigurationVersion get() = ConfigurationVersion(accepted.size.toLong())

    /** Prepares a manifest in which an operator who has read [base] changes one section. */
    fun prepare(base: ConfigurationVersion, section: Int, content: String): Manifest {
        val name = SectionName("section/$section")
        val changed = Section(name, Sha256.of(content), content.length)
        objects[changed.sha256] = content
        val before = manifest(base)?.sections.orEmpty().filter { it.name != name }
        val sections = (before + changed).sortedBy { it.name.value }.toPersistentList()
        return Manifest(ConfigurationVersion(base.value + 1), sections)
    }

    /** Conditional write; takes effect if no version was accepted since the operator's read. */
    fun write(manifest: Manifest) {
        if (!isOut && manifest.version.value == version.value + 1) accepted += manifest
    }

    fun manifest(version: ConfigurationVersion): Manifest? =
        accepted.getOrNull(version.value.toInt() - 1)

    fun setOutage(out: Boolean) {
        if (out && !isOut) outages++
        isOut = out
    }

    fun read(): TableReadResult {
        val newest = accepted.lastOrNull()
        return when {
            !answers() -> TableReadResult.Unavailable
            newest == null -> TableReadResult.Unchanged
            else -> TableReadResult.Found(newest)
        }
    }

    fun content(sha256: Sha256): String? = if (answers()) objects[sha256] else null

    private fun answers(): Boolean {
        if (isOut) return false
        if (answersToLose == 0) return true
        answersToLose--
        outages++
        return false
    }
}
