package org.shallotplank.config

import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.random.Random
import kotlin.test.assertTrue
import net.jqwik.api.ForAll
import net.jqwik.api.Property

private val names = listOf("zones.toml", "customers.toml", "draft-model/service.toml")

private val snippets =
    listOf("[", "]", "[[service]]\n", "=", "\"", "{}", "1e999", "-1", "''", "\n", ".", "07:99")

/** Replaces one to three ranges of [text] by snippets, all chosen by [random] alone. */
private fun damage(text: String, random: Random): String =
    (0..random.nextInt(3)).fold(text) { damaged, _ ->
        val start = random.nextInt(damaged.length)
        val end = minOf(damaged.length, start + random.nextInt(12))
        damaged.replaceRange(start, end, snippets.random(random))
    }

class ConfigurationReaderFuzz {
    @Property(tries = 2000, seed = "20261204")
    fun `damaged files are accepted or give findings, and never an exception`(@ForAll seed: Long) {
        val random = Random(seed)
        val sources = names.map { name ->
            val text = Path("../examples/klipstein").resolve(name).readText()
            SourceFile(name, damage(text, random))
        }
        val reading = readConfiguration(sources)
        if (reading is Reading.Rejected) assertTrue(reading.findings.isNotEmpty())
    }
}
