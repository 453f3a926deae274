package org.acaciaflow.transport.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.io.bytestring.encodeToByteString
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.port.CallAcceptor
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.relay.StopSignal
import org.acaciaflow.protocol.http.RefusalAnswer
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.HeaderField
import org.acaciaflow.transport.observation.MeteredObservations
import java.net.Socket
import java.net.SocketTimeoutException

/** What callers get when the handling of their call fails with an exception or is aborted. */
class FaultAnswerTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()
    private val callScope = CoroutineScope(Dispatchers.Default)

    @AfterAll
    suspend fun close() {
        callScope.cancel()
        vertx.close().coAwait()
    }

    /** Guards against an exception that closes the connection of a call that was passed on, without an answer. */
    @Test
    suspend fun `a call whose handling fails gets an answer that says so`() {
        val answer = answerOf { error("fault") }

        answer shouldStartWith "HTTP/1.1 504"
        answer shouldContain MayHaveRun.GATEWAY_FAULT.code
    }

    /** Guards against a head that can't be written and ends its connection without an answer. */
    @Test
    suspend fun `a call whose answer head is rejected gets an answer that says so and nothing of that head`() {
        val answer =
            answerOf {
                val fields = persistentListOf(HeaderField("Content-Length", "9"), HeaderField("X-Mark", "one"))
                it.begin(AnswerHead(200, fields.add(HeaderField("X-Note", "a\nb"))))
            }

        answer shouldStartWith "HTTP/1.1 504"
        answer shouldNotContain "X-Mark"
        answer shouldNotContain "Content-Length: 9"
    }

    /** Guards against an answer of which nothing was written and whose connection is closed instead of a refusal. */
    @Test
    suspend fun `a call that is aborted before anything of its answer was written gets an answer that says so`() {
        val answer =
            answerOf {
                it.begin(HEAD)
                it.abort(MayHaveRun.STOPPING)
            }

        answer shouldStartWith "HTTP/1.1 504"
        answer shouldContain MayHaveRun.STOPPING.code
    }

    /** Guards against a whole answer that is cut because its call is aborted while the answer is being written. */
    @Test
    suspend fun `an answer that is complete is written although its call is aborted`() {
        val answer =
            answerOf {
                it.begin(HEAD)
                it.send("whole".encodeToByteString())
                it.end()
                it.abort(MayHaveRun.STOPPING)
            }

        answer shouldStartWith "HTTP/1.1 200"
        answer shouldContain "whole"
    }

    /** Guards against a truncated answer that looks complete after a fault. */
    @Test
    suspend fun `an answer that has begun is cut by a fault and has no end`() {
        val answer =
            answerOf {
                it.begin(AnswerHead(200, persistentListOf()))
                it.send("part".encodeToByteString())
                error("fault")
            }

        answer shouldContain "part"
        answer shouldNotContain "\r\n0\r\n"
    }

    /** Returns all that the caller's connection brings until it ends or is silent for a while. */
    private suspend fun answerOf(handling: suspend (CallerExchange) -> Unit): String {
        val acceptor =
            object : CallAcceptor {
                override suspend fun accept(exchange: CallerExchange) = handling(exchange)
            }
        val frontEnd = FixedFrontEnd(RefusalAnswer::of, bodyLimitBytes = 1000, bufferedBytes = 1000, StopSignal())
        val observations = MeteredObservations(SimpleMeterRegistry())
        val server = CallerServer(vertx, acceptor, observations, callScope, frontEnd, createSteadyClock())
        val port = server.start(HostAddress("127.0.0.1", 0)).actualPort()
        return Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = SILENCE_MILLISECONDS
            socket.getOutputStream().write(REQUEST.toByteArray())
            val received = StringBuilder()
            try {
                while (true) {
                    val next = socket.getInputStream().read()
                    if (next < 0) break
                    received.append(next.toChar())
                }
            } catch (_: SocketTimeoutException) {
                return received.toString()
            }
            received.toString()
        }
    }

    private companion object {
        const val SILENCE_MILLISECONDS = 1_000
        const val REQUEST = "POST /call HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        val HEAD = AnswerHead(200, persistentListOf(HeaderField("Content-Length", "5")))
    }
}
