package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Callers that send seeded requests of all kinds to [gateways] in turn, each in a thread of its own, until they are stopped. */
internal class SoakCallers(
    private val gateways: List<InetSocketAddress>,
    count: Int,
    private val seed: Long,
    private val clock: () -> Long,
) {
    private val records = ConcurrentLinkedQueue<CallRecord>()
    private val faults = ConcurrentLinkedQueue<Throwable>()
    private val threads = List(count) { index -> Thread({ SoakCaller(index).call() }, "caller-$index") }

    @Volatile
    private var isStopping = false

    fun start() =
        threads.forEach { thread ->
            thread.isDaemon = true
            thread.setUncaughtExceptionHandler { _, fault -> faults += fault }
            thread.start()
        }

    /** Lets the callers finish the requests that they have sent, and returns all records. */
    fun finish(): ImmutableList<CallRecord> {
        isStopping = true
        threads.forEach { it.join(TimeUnit.SECONDS.toMillis(FINISH_SECONDS)) }
        check(threads.none { it.isAlive }) { "callers still wait for answers" }
        check(faults.isEmpty()) { "callers ended early: ${faults.toList()}" }
        return records.toImmutableList()
    }

    private inner class SoakCaller(
        private val index: Int,
    ) {
        private val random = Random(seed * CALLERS_PER_SEED + index)
        private val keepsConnections = index % 2 == 0
        private val retriesAtOnce = index % 4 < 2
        private val kept = mutableMapOf<InetSocketAddress, CallerConnection>()
        private var turn = index
        private var calls = 0
        private var bytesBefore = ""

        fun call() {
            while (!isStopping) {
                Thread.sleep(random.nextLong(LONGEST_PAUSE_MILLISECONDS))
                val draft = drawCall(random)
                val first = play(draft)
                if (retriesAtOnce && isFailure(first) && !isStopping) play(draft.copy(resumeAfter = resumeAfter(first)))
            }
            kept.values.forEach { it.close() }
        }

        private fun isFailure(record: CallRecord): Boolean =
            when (val outcome = record.outcome) {
                is CallOutcome.Answered -> !outcome.isSuccess || !outcome.whole
                is CallOutcome.Unanswered, is CallOutcome.Malformed -> true
            }

        /** The last event of a stream that broke off and may be resumed. */
        private fun resumeAfter(record: CallRecord): Long? {
            val answer = record.outcome as? CallOutcome.Answered
            if (record.kind != CallKind.RESUMABLE_STREAM || answer?.isSuccess != true) return record.resumeAfter
            return eventsOf(answer.body).lastOrNull()?.id ?: record.resumeAfter
        }

        private fun play(draft: CallDraft): CallRecord {
            val requestId = "%04x%02x%06x".format(seed, index, calls++)
            val sentAt = clock()
            bytesBefore = ""
            val connection = connect()
            val outcome =
                connection?.let { exchange(it, draft, requestId) } ?: CallOutcome.Unanswered("no gateway accepts")
            return CallRecord(
                requestId = requestId,
                kind = draft.kind,
                method = draft.method,
                target = draft.target,
                body = draft.body,
                gateway = connection?.address?.hostString.orEmpty(),
                sentAtMilliseconds = sentAt,
                endedAtMilliseconds = clock(),
                outcome = outcome,
                resumeAfter = draft.resumeAfter,
                bytesBefore = bytesBefore,
            ).also { records += it }
        }

        /** A connection to the gateway whose turn it is, or to the next one that accepts. */
        private fun connect(): CallerConnection? =
            gateways.indices.firstNotNullOfOrNull {
                val gateway = gateways[turn++ % gateways.size]
                keptConnection(gateway) ?: newConnection(gateway)
            }

        private fun keptConnection(gateway: InetSocketAddress): CallerConnection? {
            val connection = kept.remove(gateway) ?: return null
            val bytes = connection.bytesWithoutRequest()
            if (bytes == "") return connection
            connection.close()
            bytesBefore += bytes.orEmpty()
            return null
        }

        private fun newConnection(gateway: InetSocketAddress): CallerConnection? =
            try {
                CallerConnection(gateway)
            } catch (_: IOException) {
                null // the gateway is down; the next one is tried
            }

        private fun exchange(
            connection: CallerConnection,
            draft: CallDraft,
            requestId: String,
        ): CallOutcome =
            try {
                connection.send(draft.pieces(requestId))
                connection.readAnswer(draft.patienceMilliseconds)
            } catch (fault: IOException) {
                CallOutcome.Unanswered("not sent: ${fault.message}")
            } finally {
                if (keepsConnections &&
                    connection.isReusable
                ) {
                    kept[connection.address] = connection
                } else {
                    connection.close()
                }
            }
    }

    private companion object {
        const val FINISH_SECONDS = 15L
        const val CALLERS_PER_SEED = 1_000L
        const val LONGEST_PAUSE_MILLISECONDS = 120L
    }
}

/** A request before it has an id. */
internal data class CallDraft(
    val kind: CallKind,
    val method: String,
    val target: String,
    val body: String,
    val isChunked: Boolean,
    val prompt: ImmutableList<String>,
    val deadlineMilliseconds: Long,
    /** How long the caller waits for the whole answer before it leaves. */
    val patienceMilliseconds: Long,
    val resumeAfter: Long? = null,
) {
    /** The request with [requestId], as it is written piece by piece. */
    fun pieces(requestId: String): List<String> {
        val length =
            if (isChunked) {
                "Transfer-Encoding: chunked"
            } else {
                "Content-Length: ${body.length}".takeIf {
                    method !=
                        "GET"
                }
            }
        val fields =
            listOf("Host: $SOAK_HOST", "Request-Id: $requestId", "Deadline-Ms: $deadlineMilliseconds") +
                prompt + listOfNotNull(length, resumeAfter?.let { "Last-Event-Id: $it" })
        val head = "$method $target HTTP/1.1\r\n${fields.joinToString("\r\n")}\r\n\r\n"
        if (!isChunked) return listOf(head + body)
        val chunks = body.chunked(CHUNK_CHARACTERS).map { "${it.length.toString(HEXADECIMAL)}\r\n$it\r\n" }
        return listOf(head) + chunks + "0\r\n\r\n"
    }

    private companion object {
        const val CHUNK_CHARACTERS = 40
        const val HEXADECIMAL = 16
    }
}

/** Draws a request of any kind. */
internal fun drawCall(random: Random): CallDraft {
    val kind = CALL_KINDS.random(random)
    val deadline = random.nextLong(SHORTEST_DEADLINE, LONGEST_DEADLINE)
    val leaves = random.nextInt(PER_CENT) < LEAVING
    return CallDraft(
        kind = kind,
        method = if (kind == CallKind.READ) "GET" else "POST",
        target = "${kind.prefix}${random.nextInt(TARGETS)}?part=${random.nextInt(TARGETS)}",
        body =
            if (kind ==
                CallKind.READ
            ) {
                ""
            } else {
                "events=${random.nextInt(1, MOST_EVENTS)} " + "x".repeat(random.nextInt(MOST_FILL))
            },
        isChunked = kind != CallKind.READ && random.nextInt(PER_CENT) < CHUNKED,
        prompt = (if (kind.isStream) prompt(random) else emptyList()).toImmutableList(),
        deadlineMilliseconds = deadline,
        patienceMilliseconds = if (leaves) random.nextLong(1, LONGEST_STAY) else deadline + SPARE,
    )
}

/** The fields that describe a prompt: parts that other requests have too, and one of its own. */
private fun prompt(random: Random): List<String> {
    val shared =
        List(random.nextInt(1, MOST_PARTS)) { "5c1e${it}a${random.nextInt(SHARED_PROMPTS)}:${PART_TOKENS * (it + 1)}" }
    val parts = shared + "%08x:%d".format(random.nextInt(), PART_TOKENS)
    val tokens = parts.sumOf { it.substringAfter(':').toInt() }
    return listOf("Model: m", "Token-Counts: $tokens,80", "Prompt-Prefix: ${parts.joinToString(",")}")
}

/** The host of all routes of a soak. */
internal const val SOAK_HOST = "soak.example"

/** Half of the requests are streams, as in the incident. */
private val CALL_KINDS =
    listOf(CallKind.READ, CallKind.REPEATABLE_WRITE, CallKind.SINGLE_WRITE) +
        listOf(CallKind.STREAM, CallKind.RESUMABLE_STREAM, CallKind.RESUMABLE_STREAM)

private const val PER_CENT = 100
private const val LEAVING = 5
private const val CHUNKED = 30
private const val TARGETS = 1_000
private const val MOST_EVENTS = 12
private const val MOST_FILL = 200
private const val MOST_PARTS = 4
private const val SHARED_PROMPTS = 3
private const val PART_TOKENS = 60
private const val SHORTEST_DEADLINE = 400L
private const val LONGEST_DEADLINE = 3_000L
private const val LONGEST_STAY = 120L
private const val SPARE = 1_000L
