package org.acaciaflow.coordination.relay

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class SameRequestIdTest : AnnotationSpec() {
    private val services = listOf(backend("one"), backend("second"), backend("third-1"))

    /** Guards against a caller that gets the answer of another call's run, since both have one request id. */
    @Test
    fun `calls with one id that run at the same time each get the answer of their own run`() {
        for (kind in listOf(RequestKind.Idempotent, RequestKind.AtMostOnce)) {
            runTest {
                val connections =
                    ScriptedConnections(
                        mutableListOf(answers("slow", 60.milliseconds), answers("failed", 5.milliseconds, FAILURE)),
                    )
                val relay = createTestRelay(tablesWith(route(kind, maximumAttempts = 1), services), connections, null)
                val callers = List(2) { FakeCaller() }

                callers.map { caller -> launch { relay.accept(caller) } }.forEach { it.join() }

                withClue(kind) {
                    callers.map { it.status to it.text } shouldBe listOf(OK to "slow", FAILURE to "failed")
                }
            }
        }
    }

    /** Guards against a stream whose events are those of another call's run, since both have one request id. */
    @Test
    fun `streams with one id that run at the same time each get the events of their own run`() {
        for (resumable in listOf(false, true)) {
            runTest {
                val connections =
                    ScriptedConnections(
                        mutableListOf(
                            Reaction.Paces(listOf("a", "b", "c"), 20.milliseconds, endless = false),
                            Reaction.Paces(listOf("d", "e", "f"), 15.milliseconds, endless = false),
                        ),
                    )
                val route = route(RequestKind.EventStream(resumable), maximumAttempts = 1)
                val relay = createTestRelay(tablesWith(route, services), connections, null)
                val callers = List(2) { FakeCaller() }

                callers.map { caller -> launch { relay.accept(caller) } }.forEach { it.join() }

                withClue("resumable: $resumable") { callers.map { it.text } shouldBe listOf("abc", "def") }
            }
        }
    }

    /** Guards against an answer that is kept and given to a later call with the same request id. */
    @Test
    fun `a call with the id of an answered one is run again`() =
        runTest {
            val connections =
                ScriptedConnections(
                    mutableListOf(answers("first", 5.milliseconds), answers("second", 5.milliseconds, FAILURE)),
                )
            val route = route(RequestKind.AtMostOnce, maximumAttempts = 1)
            val relay = createTestRelay(tablesWith(route, services), connections, null)
            val callers = List(2) { FakeCaller() }

            callers.forEach { relay.accept(it) }

            callers.map { it.status to it.text } shouldBe listOf(OK to "first", FAILURE to "second")
            connections.orders shouldHaveSize 2
        }

    private fun answers(
        text: String,
        gap: Duration,
        status: Int = OK,
    ) = Reaction.Paces(listOf(text), gap, endless = false, status = status)

    private companion object {
        const val OK = 200
        const val FAILURE = 500
    }
}
