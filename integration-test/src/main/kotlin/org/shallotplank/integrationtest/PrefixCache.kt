package org.shallotplank.integrationtest

/** LRU cache of prompt prefixes in blocks of [BLOCK_CHARS] characters. */
internal class PrefixCache(private val capacityBlocks: Int) {
    private val blocks = LinkedHashMap<String, Unit>(16, 0.75f, true)

    /** Returns the number of cached leading blocks of [prompt], then caches all its blocks. */
    fun lookUpAndStore(prompt: String): Int {
        val prefixes = prefixHashes(prompt)
        val cached = prefixes.takeWhile { it in blocks }.size
        prefixes.forEach { blocks[it] = Unit }
        while (blocks.size > capacityBlocks) blocks.remove(blocks.keys.first())
        return cached
    }

    /** Returns the [count] most recently used prefixes. */
    fun mostRecent(count: Int): List<String> = blocks.keys.toList().takeLast(count)

    /** Removes all prefixes. */
    fun clear(): Unit = blocks.clear()

    internal companion object {
        /** Characters per block. */
        const val BLOCK_CHARS: Int = 64
        private const val HASH_CHARS = 16

        /** Hash of each prefix of [prompt] that ends at a block boundary, shortest first. */
        fun prefixHashes(prompt: String): List<String> = (1..prompt.length / BLOCK_CHARS).map {
            sha256(prompt.take(it * BLOCK_CHARS).encodeToByteArray()).take(HASH_CHARS)
        }
    }
}
