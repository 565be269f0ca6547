package org.shallotplank.config

/** Lowest severity of the log lines that a process writes. */
public enum class LogLevel {
    TRACE,
    DEBUG,
    INFO,
    WARN,
    ERROR
}
