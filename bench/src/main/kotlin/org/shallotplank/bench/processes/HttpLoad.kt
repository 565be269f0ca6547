package org.shallotplank.bench.processes

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram

/** Latencies of successful requests in microseconds, failed requests and total duration. */
internal class LoadResult(val latencies: Histogram, val failures: Long, val seconds: Double) {
    val requestsPerSecond: Double get() = latencies.totalCount / seconds

    /** Latency at [percentile], in milliseconds. */
    fun millisAt(percentile: Double): Double = latencies.getValueAtPercentile(percentile) / 1000.0
}

/** Sends HTTP requests to [url] from [workers] threads. */
internal class HttpLoad(private val url: String, private val workers: Int) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val latencies = ConcurrentHistogram(HIGHEST_MICROS, 3)
    private val failures = AtomicLong()

    /** Sends [count] requests from each worker, each after the response to the one before. */
    fun closedLoop(count: Int, body: String? = null): LoadResult = measure { _ ->
        repeat(count) { send(body, startNanos = System.nanoTime()) }
    }

    /** Sends [perSecond] requests a second for [seconds]; latency starts at the scheduled time. */
    fun openLoop(perSecond: Double, seconds: Int): LoadResult {
        val begin = System.nanoTime()
        val intervalNanos = workers * NANOS_PER_SECOND / perSecond
        val count = (seconds * perSecond / workers).toInt()
        return measure { worker ->
            repeat(count) { index ->
                val due = begin + ((index + worker.toDouble() / workers) * intervalNanos).toLong()
                LockSupport.parkNanos(due - System.nanoTime())
                send(body = null, startNanos = due)
            }
        }
    }

    private fun measure(work: (worker: Int) -> Unit): LoadResult {
        val pool = Executors.newFixedThreadPool(workers)
        val begin = System.nanoTime()
        val running: List<Future<*>> = List(workers) { pool.submit { work(it) } }
        running.forEach { it.get() }
        pool.shutdown()
        val seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND
        return LoadResult(latencies, failures.get(), seconds)
    }

    private fun send(body: String?, startNanos: Long) {
        val request = HttpRequest.newBuilder(URI(url)).header("Authorization", "Bearer $TOKEN")
        if (body != null) request.POST(HttpRequest.BodyPublishers.ofString(body))
        val answer = client.send(request.build(), BodyHandlers.ofString())
        val isWhole = body == null || "event: end" in answer.body()
        if (answer.statusCode() == OK && isWhole) {
            latencies.recordValue((System.nanoTime() - startNanos) / NANOS_PER_MICRO)
        } else {
            failures.incrementAndGet()
        }
    }

    internal companion object {
        /** Customer token that each request carries. */
        const val TOKEN = "example-token-bench"
        private const val OK = 200
        private const val HIGHEST_MICROS = 60_000_000L
        private const val NANOS_PER_SECOND = 1e9
        private const val NANOS_PER_MICRO = 1000L
    }
}
