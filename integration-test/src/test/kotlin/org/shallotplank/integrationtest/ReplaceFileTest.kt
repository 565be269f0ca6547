package org.shallotplank.integrationtest

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.io.TempDir

class ReplaceFileTest {
    @TempDir
    lateinit var directory: Path

    @Test
    fun `a process that has the file open keeps reading the old content`() {
        val built = directory.resolve("built.jar").apply { writeText("new") }
        val deployed = directory.resolve("deployed.jar").apply { writeText("old") }
        Files.newInputStream(deployed).use { open ->
            replace(built, deployed)
            assertEquals("old", String(open.readAllBytes()))
        }
        assertEquals("new", deployed.readText())
        assertEquals(2, Files.list(directory).use { it.count() })
    }

    private fun replace(from: Path, to: Path) {
        val script = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
            .map { it.resolve("scripts/replace-file") }
            .first { Files.exists(it) }
        val process = ProcessBuilder(script.toString(), from.toString(), to.toString())
            .inheritIO()
            .start()
        assertEquals(0, process.waitFor())
    }
}
