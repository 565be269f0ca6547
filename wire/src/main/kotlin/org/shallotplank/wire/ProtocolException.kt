package org.shallotplank.wire

import java.io.IOException

/** The peer violated the protocol; the connection can no longer be used. */
public open class ProtocolException(message: String, cause: Throwable? = null) :
    IOException(message, cause)
