package org.shallotplank.gateway.where

import java.net.URLEncoder
import kotlin.text.Charsets.UTF_8

/** Names of the query parameters of [WHERE_PATH]. */
public object WhereQuery {
    public const val HOST: String = "host"
    public const val PATH: String = "path"
    public const val CUSTOMER: String = "customer"
    public const val PRIORITY: String = "priority"
    public const val TIME_LEFT_MILLIS: String = "time_left_ms"
    public const val TOKEN_COUNTS: String = "token_counts"
    public const val LENGTH_HINT: String = "length_hint"
    public const val PROMPT_PREFIX: String = "prompt_prefix"

    /** [WHERE_PATH] with those of [parameters] that have a value. */
    public fun target(parameters: Map<String, String?>): String = parameters
        .mapNotNull { (name, value) -> value?.let { "$name=${URLEncoder.encode(it, UTF_8)}" } }
        .joinToString("&", prefix = "$WHERE_PATH?")
}
