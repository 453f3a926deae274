package org.acaciaflow.transport.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.transport.direct.RawBackend
import java.io.OutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Callers of a gateway whose only event loop is behind, who leave before their requests are sent to a server. */
class DepartedCallersTest : AnnotationSpec() {
    private val kinds =
        listOf(RequestKind.Idempotent, RequestKind.AtMostOnce, RequestKind.EventStream(resumable = true))

    /** Guards against a gateway that reads a request, sends it on, and only then reads that its caller has left. */
    @Test
    suspend fun `a request that is read after its caller has left is not sent on`() {
        for (kind in kinds) {
            play(kind, HoldUps()) { gateway ->
                val held = gateway.holdEventLoop()
                val callers = List(CALLERS) { gateway.call("late-$it") }
                callers.forEach { it.close() }
                held.countDown()
                delay(SETTLING)

                withClue(kind) { gateway.sentOn("late").shouldBeEmpty() }
            }
        }
    }

    /** Guards against waiting requests that start one after the other while nobody reads that their callers leave. */
    @Test
    suspend fun `a request whose caller leaves while others start is not sent on`() {
        for (kind in kinds) {
            play(kind, HoldUps(startTime = 40.milliseconds)) { gateway ->
                val held = gateway.holdEventLoop()
                val callers = List(CALLERS) { gateway.call("waiting-$it") }
                held.countDown()
                while (gateway.sentOn("waiting").isEmpty()) delay(1)
                callers.forEach { it.close() }
                delay(40.milliseconds * CALLERS + SETTLING)

                withClue(kind) { gateway.sentOn("waiting").size shouldBeLessThan CALLERS / 4 }
            }
        }
    }

    /** Guards against requests that are left waiting while the gateway reads its sockets between their starts. */
    @Test
    suspend fun `requests whose callers stay are all sent on`() {
        for (kind in kinds) {
            play(kind, HoldUps(startTime = 2.milliseconds)) { gateway ->
                val callers = List(CALLERS) { gateway.call("staying-$it") }
                callers.forEach { readStatus(it) shouldBe "HTTP/1.1 200 OK" }

                withClue(kind) { gateway.sentOn("staying") shouldHaveSize CALLERS }
            }
        }
    }

    /** Guards against a request that waits for a connection past its deadline and is sent on all the same. */
    @Test
    suspend fun `a request whose deadline passes before its connection is there is not sent on`() {
        val holdUps = HoldUps(heldAfterStart = 500.milliseconds, timeLimit = 300.milliseconds)
        for (kind in kinds) {
            play(kind, holdUps, isWarm = false) { gateway ->
                gateway.call("overdue").use { delay(500.milliseconds + SETTLING) }

                withClue(kind) { gateway.sentOn("overdue").shouldBeEmpty() }
            }
        }
    }

    /** Runs [scenario] with a gateway; if it [isWarm], it has an idle connection to its server for each caller. */
    private suspend fun play(
        kind: RequestKind,
        holdUps: HoldUps,
        isWarm: Boolean = true,
        scenario: suspend (HeldUpGateway) -> Unit,
    ) = withGateway(kind, holdUps, { output, id -> answer(output, id) }) { gateway ->
        if (isWarm) List(CALLERS) { gateway.call("first-$it") }.forEach { readStatus(it) }
        scenario(gateway)
    }

    private fun RawBackend.answer(
        output: OutputStream,
        id: String,
    ) {
        if (id.startsWith("first")) Thread.sleep(900) // so that each of these requests opens a connection
        write(output, "HTTP/1.1 200 OK\r\nRequest-Id: $id\r\nContent-Length: 2\r\n\r\nok")
    }

    private companion object {
        const val CALLERS = 16
        val SETTLING: Duration = 300.milliseconds
    }
}
