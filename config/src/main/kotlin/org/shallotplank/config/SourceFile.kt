package org.shallotplank.config

/** A loaded TOML file: its [path], as findings print it, and its [text]. */
public data class SourceFile(val path: String, val text: String)
