package org.shallotplank.core.gateway

/** Why an upstream is not chosen for a request. */
public enum class UpstreamExclusion {
    /** Its zone is out of service. */
    ZONE_OUT_OF_SERVICE,

    /** Its record or one of its answers says that it is leaving. */
    LEAVING,

    /** It asked for a pause that has not ended. */
    PAUSED,

    /** Another process answered at its address. */
    MISDIRECTED,

    /** Its last attempts failed, and the backoff has not ended. */
    BACKOFF,

    /** Its last attempts failed, and another attempt probes it now. */
    PROBED,

    /** An attempt of the same request failed there. */
    TRIED_BEFORE,

    /** This entry's share of the rate of cold upstreams is used up. */
    COLD_RATE,

    /** This entry's share of the rate that the upstream announced is used up. */
    ANNOUNCED_RATE,

    /** It is slow and runs as many requests as its slowdown allows, and another one is left. */
    SLOW,

    /** The request was moved, and another upstream has a free slot. */
    NO_FREE_SLOT,

    /** The request is expected not to fit into its memory, and another one has room. */
    MEMORY
}
