package org.shallotplank.core.work

/**
 * What a caller stated about the size of its request; each value is null if it stated none.
 *
 * @property promptTokens tokens of the prompt.
 * @property maxOutputTokens tokens after which the answer ends.
 * @property hintTokens the caller's own estimate of the tokens of the answer.
 */
public data class RequestSize(
    val promptTokens: Int? = null,
    val maxOutputTokens: Int? = null,
    val hintTokens: Int? = null
)
