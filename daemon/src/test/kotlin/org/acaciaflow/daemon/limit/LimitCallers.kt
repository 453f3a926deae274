package org.acaciaflow.daemon.limit

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.acaciaflow.daemon.soak.SoakGateway
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** A request of a caller, and its answer; [status] is 0 if there was none, [attempt] is 0 unless it is a return. */
internal data class LimitCall(
    val call: Int,
    val attempt: Int,
    val sentAtMilliseconds: Long,
    val endedAtMilliseconds: Long,
    val status: Int,
    val retryAfterSeconds: Double?,
) {
    val isServed: Boolean get() = status == OK
    val milliseconds: Long get() = endedAtMilliseconds - sentAtMilliseconds

    private companion object {
        const val OK = 200
    }
}

/** Callers of `/path/` that call at the gateway that [choose] picks, each in a thread of its own. */
internal class LimitCallers(
    private val gateways: List<SoakGateway>,
    private val path: String,
    private val clock: () -> Long,
    private val returnsWhenTold: Boolean,
    private val choose: (Random) -> Int,
) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val records = ConcurrentLinkedQueue<LimitCall>()
    private val threads = List(CALLERS) { index -> Thread({ callUntilStopped(index) }, "caller-$index") }

    @Volatile
    private var isStopping = false

    fun start() =
        threads.forEach {
            it.isDaemon = true
            it.start()
        }

    /** Lets the callers finish the requests that they have sent, and returns all calls in the order of time. */
    fun finish(): ImmutableList<LimitCall> {
        isStopping = true
        threads.forEach { it.join(TimeUnit.SECONDS.toMillis(FINISH_SECONDS)) }
        check(threads.none { it.isAlive }) { "callers still wait for answers" }
        return records.sortedBy { it.sentAtMilliseconds }.toImmutableList()
    }

    private fun callUntilStopped(index: Int) {
        val random = Random(path.hashCode() * CALLS_OF_A_CALLER + index)
        var calls = index * CALLS_OF_A_CALLER
        while (!isStopping) {
            Thread.sleep(random.nextLong(LONGEST_PAUSE_MILLISECONDS))
            val call = calls++
            var attempt = 0
            var record = play(call, attempt, random)
            while (returnsWhenTold && record.retryAfterSeconds != null && attempt < MOST_RETURNS && !isStopping) {
                pause(record.retryAfterSeconds)
                if (isStopping) return
                attempt += 1
                record = play(call, attempt, random)
            }
        }
    }

    /** Waits [seconds], or until the callers are stopped. */
    private fun pause(seconds: Double) {
        val end = clock() + (seconds * MILLISECONDS_PER_SECOND).toLong()
        while (clock() < end && !isStopping) Thread.sleep(POLL_MILLISECONDS)
    }

    private fun play(
        call: Int,
        attempt: Int,
        random: Random,
    ): LimitCall {
        val sentAt = clock()
        val answer = answerOf("$path-$call-$attempt", choose(random))
        val retryAfter =
            answer
                ?.headers()
                ?.firstValue("Retry-After")
                ?.orElse(null)
                ?.toDoubleOrNull()
        return LimitCall(call, attempt, sentAt, clock(), answer?.statusCode() ?: 0, retryAfter).also { records += it }
    }

    /** The answer of the gateway at [first], or of the next one that accepts; null if there is none. */
    private fun answerOf(
        call: String,
        first: Int,
    ): HttpResponse<String>? {
        for (index in gateways.indices) {
            try {
                return send(call, gateways[(first + index) % gateways.size])
            } catch (_: ConnectException) {
                continue // the gateway is down
            } catch (_: IOException) {
                return null
            }
        }
        return null
    }

    private fun send(
        call: String,
        gateway: SoakGateway,
    ): HttpResponse<String> {
        val requestId = requestIdOf(gateway.name, call)
        val request =
            HttpRequest
                .newBuilder(URI("http://${gateway.address.hostString}:${gateway.address.port}/$path/$requestId"))
                .header("Request-Id", requestId)
                .header("Deadline-Ms", "3000")
                .timeout(PATIENCE)
                .POST(HttpRequest.BodyPublishers.ofString("claim"))
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    private companion object {
        const val CALLERS = 30
        const val CALLS_OF_A_CALLER = 10_000
        const val LONGEST_PAUSE_MILLISECONDS = 800L
        const val MOST_RETURNS = 3
        const val POLL_MILLISECONDS = 20L
        const val FINISH_SECONDS = 10L
        const val MILLISECONDS_PER_SECOND = 1_000
        val PATIENCE: Duration = Duration.ofSeconds(4)
    }
}

/** The id of the request for [call] at the gateway [machine]: a gateway sends only the requests of its own callers. */
private fun requestIdOf(
    machine: String,
    call: String,
): String = "$machine.$call"

/** The gateway that got the request with [requestId] from a caller. */
internal fun machineOf(requestId: String): String = requestId.substringBefore('.')
