package org.shallotplank.core.call

import kotlinx.serialization.Serializable

/** Status and content type of an upstream's answer. */
@Serializable
public data class AnswerHead(
    val status: Int,
    val contentType: String? = null,
    /** Whether the answer is the recorded one of an earlier execution. */
    val replayed: Boolean = false
)
