package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class StreamProgressTest : AnnotationSpec() {
    private val engines =
        listOf(
            backend("decode", ENGINE_POOL, EngineRole.DECODE),
            backend("decode-2", ENGINE_POOL, EngineRole.DECODE),
        )
    private val route = route(RequestKind.EventStream(resumable = true), ENGINE_POOL).copy(timeout = 2.minutes)

    @Test
    fun `a slow but sound stream with events just inside their allowance for a minute is not cut`() =
        runTest {
            val letters = List(300) { ('a' + it % 26).toString() }
            val connections =
                ScriptedConnections(mutableListOf(Reaction.Paces(letters, 199.milliseconds, endless = false)))
            val caller = FakeCaller()

            relay(connections).accept(caller)

            caller.text shouldBe letters.joinToString("")
            caller.ended shouldBe true
            connections.orders shouldHaveSize 1
        }

    @Test
    fun `a stream that sends only comments goes on at another engine`() = isResumed(listOf("a", "b", "."))

    @Test
    fun `a stream that repeats its last event goes on at another engine`() = isResumed(listOf("a", "b", "b"))

    @Test
    fun `a stream of a kind that may not be resumed ends with its deadline although it drips`() =
        runTest {
            val once = route.copy(kind = RequestKind.EventStream(resumable = false), timeout = 4.seconds)
            val dripping = Reaction.Paces(listOf("a", "."), 100.milliseconds, endless = true)
            val connections = ScriptedConnections(mutableListOf(dripping))
            val caller = FakeCaller()

            relay(connections, once).accept(caller)

            caller.aborted shouldBe true
            caller.ended shouldBe false
            currentTime shouldBeLessThan 4_100L
        }

    // Guards against passing on an answer without length that ended with its connection as an empty success.
    @Test
    fun `a stream that ends before its first event is not taken for a complete answer`() =
        runTest {
            val empty = Reaction.Paces(emptyList(), 5.milliseconds, endless = false)
            val connections = ScriptedConnections(mutableListOf(empty, Reaction.Streams(breakAt = null)))
            val caller = FakeCaller()

            relay(connections).accept(caller)

            caller.text shouldBe "abcdefgh"
            caller.ended shouldBe true
            connections.orders shouldHaveSize 2
        }

    private fun isResumed(parts: List<String>) =
        runTest {
            val stalled = Reaction.Paces(parts, 100.milliseconds, endless = true)
            val connections = ScriptedConnections(mutableListOf(stalled, Reaction.Streams(breakAt = null)))
            val caller = FakeCaller()

            relay(connections).accept(caller)

            caller.text shouldStartWith "ab"
            caller.text.last() shouldBe ScriptedConnections.LAST_LETTER
            caller.ended shouldBe true
            connections.orders.map { it.backend.life.instance }.toSet() shouldHaveSize 2
            currentTime shouldBeLessThan 5_000L
        }

    private fun TestScope.relay(
        connections: ScriptedConnections,
        route: Route = this@StreamProgressTest.route,
    ): RequestRelay {
        val prompt = Prompt(persistentListOf(PromptPart(1, 100)), 100, 10)
        return createTestRelay(tablesWith(route, engines), connections, prompt)
    }
}
