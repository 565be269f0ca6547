package org.shallotplank.integrationtest

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout

/** Overloads the engine at [url]: opens streams up to its limit, then sends one more call. */
internal class EngineOverload(
    private val caller: HttpCaller,
    private val url: String,
    private val body: String
) {
    private val loadUrl = url.substringBefore("/v1") + "/load"

    /**
     * Opens [limit] streams and returns the status of one more call.
     *
     * This call crashes the engine, which cuts off the streams.
     */
    suspend fun callAboveLimit(limit: Int): Int = coroutineScope {
        repeat(limit) {
            launch { runCatching { caller.events(url, body).collect() } }
        }
        awaitConcurrency(limit)
        caller.call("POST", url, body).status
    }

    private suspend fun awaitConcurrency(count: Int) = withTimeout(20.seconds) {
        while (caller.get<LoadReport>(loadUrl).run { running + queued } < count) {
            delay(5.milliseconds)
        }
    }
}
