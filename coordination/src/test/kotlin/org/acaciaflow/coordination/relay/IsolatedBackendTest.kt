package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.connection.ConnectionIsolation
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.route.RequestKind

/** Calls to a pool in which one of three servers has written a surplus answer. */
class IsolatedBackendTest : AnnotationSpec() {
    private val services = listOf(backend("one"), backend("second"), backend("third-1"))
    private val isolated = services[1]

    /** Guards against callers that get the wrong answers of a server that is known to answer twice. */
    @Test
    fun `an isolated server gets no plain calls while others of its pool have room`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf())

            val callers = callInRounds(connections, rounds = 3, callers = 10)

            callers.map { it.status } shouldContainExactly List(30) { ScriptedConnections.OK }
            connections.orders.size shouldBe 30
            connections.orders.count { it.backend == isolated } shouldBe 0
        }

    /** Guards against calls that wait while an isolated server of their pool is idle. */
    @Test
    fun `an isolated server gets the calls for which others have no room`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf())

            val callers = callInRounds(connections, rounds = 1, callers = 24)

            callers.map { it.status } shouldContainExactly List(24) { ScriptedConnections.OK }
            connections.orders.count { it.backend == isolated } shouldBeGreaterThan 4
        }

    /** Guards against a call that fails although an isolated server could still serve it. */
    @Test
    fun `a call that fails at the sound servers goes on to the isolated one`() =
        runTest {
            val connections = ScriptedConnections(mutableListOf(Reaction.Answers(500), Reaction.Answers(500)))

            val caller = callInRounds(connections, rounds = 1, callers = 1).single()

            caller.status shouldBe ScriptedConnections.OK
            connections.orders.map { it.backend == isolated } shouldContainExactly listOf(false, false, true)
        }

    private suspend fun TestScope.callInRounds(
        connections: ScriptedConnections,
        rounds: Int,
        callers: Int,
    ): List<FakeCaller> {
        val tables = tablesWith(route(RequestKind.Idempotent, maximumAttempts = 3), services)
        isolate(tables, isolated)
        val relay = createTestRelay(tables, connections, prompt = null)
        return List(rounds) { round ->
            val calls = List(callers) { FakeCaller("/calls/$round-$it") }
            calls.map { launch { relay.accept(it) } }.joinAll()
            calls
        }.flatten()
    }

    private fun TestScope.isolate(
        tables: RelayTables,
        entry: BackendEntry,
    ) {
        tables.surplus.update { ConnectionIsolation.surplusSeen(it, entry.life, virtualClock().now()) }
    }
}
