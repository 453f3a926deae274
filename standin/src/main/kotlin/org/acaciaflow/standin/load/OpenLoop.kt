package org.acaciaflow.standin.load

import io.vertx.core.Vertx
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.HdrHistogram.ConcurrentHistogram
import org.acaciaflow.state.identity.HostAddress
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Open-loop load generator: sends lookups at scheduled times, independent of earlier answers. */
internal class OpenLoop(
    vertx: Vertx,
) {
    private val client = WebClient.create(vertx, WebClientOptions(), PoolOptions().setHttp1MaxSize(CONNECTIONS))

    /** Sends [rate] calls a second to [target] for [duration], with exponential gaps seeded by [seed]. */
    suspend fun run(
        target: HostAddress,
        rate: Int,
        duration: Duration,
        seed: Long,
    ): LoadResult {
        val latencies = ConcurrentHistogram(MAXIMUM_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
        val failed = AtomicInteger()
        val random = Random(seed)
        withContext(Dispatchers.Default) {
            coroutineScope {
                val start = TimeSource.Monotonic.markNow()
                var scheduled = Duration.ZERO
                while (scheduled < duration) {
                    scheduled += (-ln(1 - random.nextDouble()) / rate).seconds
                    val wait = scheduled - start.elapsedNow()
                    if (wait > MINIMUM_DELAY) delay(wait)
                    val due = scheduled
                    launch {
                        if (!call(target)) failed.incrementAndGet()
                        latencies.recordValue((start.elapsedNow() - due).inWholeMicroseconds.coerceAtLeast(0))
                    }
                }
            }
        }
        return LoadResult(latencies, failed.get())
    }

    private suspend fun call(target: HostAddress): Boolean =
        try {
            val response =
                client
                    .get(target.port, target.ip, TARGET)
                    .timeout(TIMEOUT_MILLISECONDS)
                    .send()
                    .coAwait()
            response.statusCode() == SUCCESS
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (_: Exception) {
            false
        }

    private companion object {
        const val TARGET = "/register/load"
        const val CONNECTIONS = 256
        const val TIMEOUT_MILLISECONDS = 10_000L
        const val MAXIMUM_LATENCY_MICROSECONDS = 60_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val SUCCESS = 200
        val MINIMUM_DELAY = 200_000.nanoseconds
    }
}
