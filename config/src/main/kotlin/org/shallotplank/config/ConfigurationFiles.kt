package org.shallotplank.config

import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.exists
import kotlin.io.path.extension
import kotlin.io.path.isDirectory
import kotlin.io.path.isRegularFile
import kotlin.io.path.readText
import kotlin.io.path.walk
import org.shallotplank.core.config.Configuration

/**
 * Reads the files among [paths] and every `.toml` file in or below the directories among them.
 *
 * Skips files in hidden directories, such as `.git`. A path that does not exist or cannot be read
 * is a finding. The checks and [complete] are those of [readConfiguration].
 */
public fun readConfigurationFiles(
    paths: List<Path>,
    complete: Boolean = true
): Reading<Configuration> {
    val findings = FindingCollector()
    val files = paths.flatMap { filesAt(it, findings) }.distinct()
    val sources = files.mapNotNull { load(it, findings) }
    return readConfiguration(sources, complete, findings)
}

/** Reads the settings of an entry instance from the file [path]; see [readEntrySettings]. */
public fun readEntrySettings(path: Path): Reading<EntrySettings> =
    readFile(path, ::readEntrySettings)

/** Reads the settings of an agent from the file [path]; see [readAgentSettings]. */
public fun readAgentSettings(path: Path): Reading<AgentSettings> =
    readFile(path, ::readAgentSettings)

/** Reads the settings of a gateway entry from [path]; see [readGatewayEntrySettings]. */
public fun readGatewayEntrySettings(path: Path): Reading<GatewayEntrySettings> =
    readFile(path, ::readGatewayEntrySettings)

/** Reads the settings of a relay from [path]; see [readRelaySettings]. */
public fun readRelaySettings(path: Path): Reading<RelaySettings> =
    readFile(path, ::readRelaySettings)

private fun <T : Any> readFile(path: Path, read: (SourceFile) -> Reading<T>): Reading<T> {
    val findings = FindingCollector()
    val source = load(path, findings) ?: return findings.conclude { null }
    return read(source)
}

private fun filesAt(path: Path, findings: FindingCollector): List<Path> = when {
    path.isDirectory() -> tomlFilesBelow(path, findings)
    path.exists() -> listOf(path)
    else -> {
        findings.report(SourceLocation(path.toString()), "file", "a file or directory", "nothing")
        emptyList()
    }
}

@OptIn(ExperimentalPathApi::class)
private fun tomlFilesBelow(directory: Path, findings: FindingCollector): List<Path> = try {
    directory.walk()
        .filter { it.isRegularFile() && it.extension == "toml" }
        .filterNot { file -> directory.relativize(file).any { it.toString().startsWith('.') } }
        .sorted()
        .toList()
} catch (e: IOException) {
    reportUnreadable(directory, e, findings)
    emptyList()
}

private fun load(path: Path, findings: FindingCollector): SourceFile? = try {
    SourceFile(path.toString(), path.readText())
} catch (e: IOException) {
    reportUnreadable(path, e, findings)
    null
}

private fun reportUnreadable(path: Path, cause: IOException, findings: FindingCollector) {
    val found = "${cause.javaClass.simpleName}: ${cause.message}"
    findings.report(SourceLocation(path.toString()), "file", "something readable", found)
}
