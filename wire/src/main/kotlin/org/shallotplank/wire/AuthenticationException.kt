package org.shallotplank.wire

/** The peer did not prove that it has the cluster key, or uses another protocol version. */
public class AuthenticationException(message: String) : ProtocolException(message)
