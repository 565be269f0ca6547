package org.shallotplank.bench

/** Size that the system is designed for, with its limits on control cost and table access. */
internal object StatedSize {
    const val ENTRIES = 1_900
    const val UPSTREAMS = 5_300
    const val MEMBERS = ENTRIES + UPSTREAMS
    const val REGIONS = 8
    const val ZONES = 19
    const val CUSTOMERS = 5_900
    const val SERVICES = 30
    const val CHANGES_PER_DAY = 4_800
    const val REQUESTS_PER_SECOND = 54_000
    const val TOKENS_PER_SECOND = 15_000_000
    const val SECONDS_PER_DAY = 86_400

    const val CONTROL_BYTES_PER_SECOND = 3_000.0
    const val CONTROL_CORE_SHARE = 0.048
    const val CONTROL_MEMORY_BYTES = 256.0 * 1024 * 1024
    const val CHANGE_SECONDS = 8.0
    const val TABLE_WRITES_PER_SECOND = 500.0
    const val TABLE_READS_PER_SECOND = 2_000.0
}
