package org.shallotplank.bench.decisions

/** Thrown when a load file cannot be read; the message names the file, the key and the fault. */
internal class LoadFileException(message: String) : Exception(message)
