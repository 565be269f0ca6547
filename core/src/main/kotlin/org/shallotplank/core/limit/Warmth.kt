package org.shallotplank.core.limit

import kotlinx.serialization.Serializable

/** Warm-up state of an upstream: how much of its full load it has been shown to handle. */
@Serializable
public enum class Warmth {
    /** The upstream has not yet been shown to handle more than a cold start allows. */
    COLD,

    /** The upstream has answered in time since its start; its limit is being raised. */
    WARMING,

    /** The limit has reached the configured maximum since the start of the upstream. */
    READY
}
