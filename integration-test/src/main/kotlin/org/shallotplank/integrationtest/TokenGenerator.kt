package org.shallotplank.integrationtest

import kotlin.random.Random

/** Deterministic token generator: all engines generate the same tokens for the same prompt. */
internal object TokenGenerator {
    private const val MIN_TOKENS = 32
    private const val MAX_TOKENS = 160
    private const val SYLLABLE_COUNT = 3
    private val syllables = listOf("ka", "lo", "mi", "ne", "ru", "sa", "ti", "vo")

    /** Returns the tokens for [prompt], at most [maxTokens]. */
    fun tokens(prompt: String, maxTokens: Int): List<String> {
        val random = Random(prompt.hashCode())
        val naturalCount = random.nextInt(MIN_TOKENS, MAX_TOKENS)
        return List(minOf(naturalCount, maxTokens)) { word(random) }
    }

    private fun word(random: Random): String =
        List(SYLLABLE_COUNT) { syllables.random(random) }.joinToString("")
}
