package org.acaciaflow.daemon

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.util.concurrent.TimeUnit

/** Calls a gateway in a process of its own on raw connections, whose time the configuration bounds. */
class CallerTimeoutsTest : AnnotationSpec() {
    /** Guards against a connection that is held for ever by half a head (`header_timeout_ms`), which may drip. */
    @Test
    fun `a call whose head is incomplete for too long is refused as not run`() =
        onGateway { gateway ->
            for (drips in listOf(false, true)) {
                val end = endOf(gateway, "POST /claims/x HTTP/1.1\r\nHost: a\r\n", drips)

                withClue("drips: $drips, $end") {
                    end.text shouldStartWith "HTTP/1.1 408 "
                    end.milliseconds shouldBeInRange HEAD_MILLISECONDS..HEAD_MILLISECONDS + SLACK_MILLISECONDS
                }
            }
        }

    /** Guards against idle connections that are kept for ever (`idle_timeout_ms`), with or without calls before. */
    @Test
    fun `an idle connection is closed after its time and not before`() =
        onGateway { gateway ->
            for (calls in listOf("", CALL)) {
                val end = endOf(gateway, calls)

                withClue("calls before: ${calls.length}, $end") {
                    end.text.contains("200") shouldBe calls.isNotEmpty()
                    end.milliseconds shouldBeInRange IDLE_MILLISECONDS..IDLE_MILLISECONDS + SLACK_MILLISECONDS
                }
            }
        }

    /** Guards against a call without an answer whose body does not come, though its caller stated how long it waits. */
    @Test
    fun `a call whose body is incomplete at its time limit is refused as not run`() =
        onGateway { gateway ->
            val head = "POST /claims/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: half\r\nDeadline-Ms: 1000\r\n"
            val end = endOf(gateway, "${head}Content-Length: 10\r\n\r\nhalf")

            withClue(end) {
                end.text shouldStartWith "HTTP/1.1 408 "
                end.text.lowercase() shouldContain "connection: close"
                end.milliseconds shouldBeInRange LIMIT_MILLISECONDS..LIMIT_MILLISECONDS + SLACK_MILLISECONDS
            }
        }

    /** Guards against a call without an answer whose body does not come and whose caller states no time limit. */
    @Test
    fun `a call without a time limit whose body pauses for too long is refused as not run`() =
        onGateway { gateway ->
            val head = "POST /claims/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: half\r\n"
            val end = endOf(gateway, "${head}Content-Length: 10\r\n\r\nhalf")

            withClue(end) {
                end.text shouldStartWith "HTTP/1.1 408 "
                end.milliseconds shouldBeInRange IDLE_MILLISECONDS..IDLE_MILLISECONDS + SLACK_MILLISECONDS
            }
        }

    /** Guards against a call that is cut since its connection counts as idle while it waits for its answer. */
    @Test
    fun `a call that takes longer than a connection may be idle is answered`() =
        onGateway(answerMilliseconds = IDLE_MILLISECONDS + 500) { gateway ->
            val end = endOf(gateway, CALL)

            withClue(end) {
                end.text shouldStartWith "HTTP/1.1 200 "
            }
        }

    private fun onGateway(
        answerMilliseconds: Long = 0,
        play: (GatewayProcess) -> Unit,
    ) {
        val server =
            ScriptedServer("i-1", answerMilliseconds) { arrival, _ -> listOf("", answerText(arrival.requestId, OK)) }
        StoreServer().use { store ->
            val configuration =
                claimsConfiguration(
                    "non_idempotent",
                    timeoutMilliseconds = 6_000,
                    headTimeoutMilliseconds = HEAD_MILLISECONDS,
                    idleTimeoutMilliseconds = IDLE_MILLISECONDS,
                )
            store.put("op/config", configuration)
            store.put("servers/${server.instance}", server.entry)
            GatewayProcess(store.port).use { gateway ->
                gateway.awaitReady()
                server.use { play(gateway) }
            }
        }
    }

    /** Writes [text], and what was received until the gateway closes the connection; drips a header field if [drips]. */
    private fun endOf(
        gateway: GatewayProcess,
        text: String,
        drips: Boolean = false,
    ): End =
        Socket(gateway.ip, gateway.port).use { socket ->
            socket.soTimeout = PATIENCE_MILLISECONDS
            socket.getOutputStream().write(text.toByteArray())
            val start = System.nanoTime()
            val received = StringBuilder()
            val dripping =
                Thread {
                    while (drips &&
                        runCatching { socket.getOutputStream().write('x'.code) }.isSuccess
                    ) {
                        Thread.sleep(DRIP_MILLISECONDS)
                    }
                }.apply { start() }
            try {
                generateSequence { socket.getInputStream().read().takeIf { it >= 0 } }.forEach {
                    received.append(
                        it.toChar(),
                    )
                }
            } finally {
                dripping.interrupt()
            }
            End("$received", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start))
        }

    /** What a caller had received when its connection was closed, [milliseconds] after it had written. */
    private data class End(
        val text: String,
        val milliseconds: Long,
    )

    private companion object {
        const val OK = 200
        const val HEAD_MILLISECONDS = 700L
        const val LIMIT_MILLISECONDS = 1_000L
        const val IDLE_MILLISECONDS = 1_500L
        const val SLACK_MILLISECONDS = 900L
        const val DRIP_MILLISECONDS = 100L
        const val PATIENCE_MILLISECONDS = 10_000
        const val CALL =
            "POST /claims/x HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: whole\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    }
}
