package org.shallotplank.core

private const val FNV_OFFSET_BASIS = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val MIX_FACTOR_1 = -4658895280553007687L
private const val MIX_FACTOR_2 = -7723592293110705685L

/** Returns a 64-bit hash of [text] that is the same in all processes and versions. */
internal fun stableHash(text: String): Long =
    mix(text.fold(FNV_OFFSET_BASIS) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME })

/** Mixes the bits of [value], so that similar values give unrelated results. */
internal fun mix(value: Long): Long {
    val first = (value xor (value ushr 30)) * MIX_FACTOR_1
    val second = (first xor (first ushr 27)) * MIX_FACTOR_2
    return second xor (second ushr 31)
}
