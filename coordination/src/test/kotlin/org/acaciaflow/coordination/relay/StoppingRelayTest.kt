package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import kotlin.time.Duration.Companion.milliseconds

/** Requests in progress when a stopping process ends. */
class StoppingRelayTest : AnnotationSpec() {
    private val silent = Reaction.StaysSilent
    private val resumable = RequestKind.EventStream(resumable = true)

    /** Guards against a request in progress at the end of a stop whose connection closes without an answer. */
    @Test
    fun `a call in progress when the process ends is answered as possibly run`() {
        val caller = endedAfter(100, route(RequestKind.AtMostOnce), silent)

        caller.refusal shouldBe MayHaveRun.STOPPING
    }

    @Test
    fun `a stream that has begun when the process ends is aborted`() {
        val slow = Reaction.Paces(listOf("a", "b"), 80.milliseconds, endless = true)

        val caller = endedAfter(200, route(resumable), slow)

        caller.text shouldBe "a"
        caller.aborted shouldBe true
        caller.ended shouldBe false
    }

    @Test
    fun `a request that arrives while connections close is refused and not sent`() =
        runTest {
            val stop = StopSignal().apply { close() }
            val connections = ScriptedConnections(mutableListOf())
            val caller = FakeCaller()
            val tables = tablesWith(route(RequestKind.Idempotent), listOf(backend("one")))

            createTestRelay(tables, connections, prompt = null, stop = stop).accept(caller)

            caller.refusal shouldBe NotRun.STOPPING
            connections.mayHaveRun shouldBe 0
        }

    private fun endedAfter(
        milliseconds: Long,
        route: Route,
        reaction: Reaction,
    ): FakeCaller {
        val caller = FakeCaller()
        runTest {
            val stop = StopSignal()
            val tables = tablesWith(route, listOf(backend("one")))
            val relay = createTestRelay(tables, ScriptedConnections(mutableListOf(reaction)), null, stop = stop)

            val call = launch { relay.accept(caller) }
            delay(milliseconds)
            stop.end()
            call.join()

            currentTime shouldBe milliseconds
        }
        return caller
    }
}
