package org.acaciaflow.transport.engine

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.port.EngineReading
import org.acaciaflow.coordination.port.OrderOutcome
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.transport.direct.answerBytes
import org.acaciaflow.transport.direct.repeatingBackend

class HttpEngineControlTest : AnnotationSpec() {
    private val vertx = Vertx.vertx()

    @AfterAll
    suspend fun close() {
        vertx.close().coAwait()
    }

    /** Guards against an order that counts as accepted, although the engine refused it, after a late copy of an answer. */
    @Test
    suspend fun `a late copy of an answer does not answer the next order`() {
        repeatingBackend(answerBytes(202), answerBytes(409), answerBytes(500)).use { engine ->
            val control = HttpEngineControl(vertx, engine.address)

            val outcomes = List(3) { control.order(stateOf("v1"), fencing = 7) }

            outcomes shouldBe listOf(OrderOutcome.ACCEPTED, OrderOutcome.FENCED, OrderOutcome.IN_DOUBT)
        }
    }

    /** Guards against an order that is sent for a state that the engine had before. */
    @Test
    suspend fun `a late copy of a report does not answer the next read`() {
        repeatingBackend(reportOf("v1"), reportOf("v2"), reportOf("v3")).use { engine ->
            val control = HttpEngineControl(vertx, engine.address)

            val versions = List(3) { (control.read() as? EngineReading.Known)?.state?.version }

            versions shouldBe listOf("v1", "v2", "v3")
        }
    }

    private fun reportOf(version: String): String {
        val state = """{"role":"MIXED","model":"m","version":"$version"}"""
        return answerBytes(200, """{"state":$state,"changing":false,"fencing":7}""")
    }

    private fun stateOf(version: String) = EngineState(EngineRole.MIXED, "m", version, persistentListOf())
}
