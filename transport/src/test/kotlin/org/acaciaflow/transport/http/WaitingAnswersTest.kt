package org.acaciaflow.transport.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.transport.direct.RawBackend
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds

/** Answers that wait at the sockets of a gateway whose only event loop is held up while it reads another socket. */
class WaitingAnswersTest : AnnotationSpec() {
    // Guards against timers that are due after such a time and run before the sockets are read (502, STREAM_STALLED).
    @Test
    suspend fun `answers that arrived in time are delivered although their runs look stalled`() {
        val served = listOf(SMALL_BYTES, LARGE_BYTES).associateWith { servedAfterHold(it) }

        served shouldBe mapOf(SMALL_BYTES to CALLERS, LARGE_BYTES to CALLERS)
    }

    /** Returns how many callers get their answer of [size] bytes, which arrives while the event loop is held up. */
    private suspend fun servedAfterHold(size: Int): Int {
        var served = 0
        val held = CountDownLatch(1)
        withGateway(
            RequestKind.Idempotent,
            HoldUps(target = 500.milliseconds),
            { output, id -> answer(output, id, size, held) },
        ) { gateway ->
            val callers = List(CALLERS) { gateway.call("waiting-$it") }
            while (gateway.sentOn("waiting").size < CALLERS) delay(1)
            gateway.holdReads(1500.milliseconds, held)
            served = callers.count { readStatus(it) == "HTTP/1.1 200 OK" }
        }
        return served
    }

    private fun RawBackend.answer(
        output: OutputStream,
        id: String,
        size: Int,
        held: CountDownLatch,
    ) {
        held.await()
        write(output, "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nContent-Length: $size\r\n\r\n${"x".repeat(size)}")
    }

    private companion object {
        const val CALLERS = 16
        const val SMALL_BYTES = 2
        const val LARGE_BYTES = 60_000 // as much as a socket takes in while nobody reads it
    }
}
