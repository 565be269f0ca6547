package org.shallotplank.config

import kotlinx.collections.immutable.toPersistentList

/** Collects the findings of one reading, so that all of them are reported together. */
internal class FindingCollector {
    private val findings = mutableListOf<Finding>()

    fun report(location: SourceLocation, key: String, expected: String, found: String) {
        findings += Finding(location.file, location.line, location.column, key, expected, found)
    }

    /** Accepts the value that [build] returns, or rejects with all findings if there are any. */
    fun <T : Any> conclude(build: () -> T?): Reading<T> {
        val value = if (findings.isEmpty()) build() else null
        if (value != null) return Reading.Accepted(value)
        check(findings.isNotEmpty()) { "a value is missing, but no finding was reported" }
        val order = compareBy(Finding::file, Finding::line, Finding::column, Finding::key)
        return Reading.Rejected(findings.distinct().sortedWith(order).toPersistentList())
    }
}
