package org.acaciaflow.coordination.connection

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.connection.newConnectionHistory

class ConnectionReuseTest : AnnotationSpec() {
    private val fresh = newConnectionHistory(number = 1)

    @Test
    fun `a connection may carry requests with ids that it has not carried`() {
        decide(fresh, "request-1") shouldBe ReuseDecision.Use(fresh)

        val used = fresh.carrying("request-1")
        decide(used, "request-2") shouldBe ReuseDecision.Use(used)
    }

    /** Guards against an answer to an earlier sending of a request that is taken for the answer to a later one. */
    @Test
    fun `a connection carries no id twice, however many requests came between`() {
        val used =
            (1 until ConnectionReuse.MAXIMUM_REQUESTS).fold(
                fresh,
            ) { history, id -> history.carrying("request-$id") }

        decide(used, "request-1") shouldBe ReuseDecision.Close(ConnectionCloseReason.REQUEST_REPEATED)
    }

    /** Guards against memory that grows with the age of a connection. */
    @Test
    fun `a connection carries a bounded number of requests`() {
        val used = (1..ConnectionReuse.MAXIMUM_REQUESTS).fold(fresh) { history, id -> history.carrying("request-$id") }

        decide(used, "request-0") shouldBe ReuseDecision.Close(ConnectionCloseReason.REQUESTS_EXHAUSTED)
    }

    /** Guards against a surplus answer that comes in place of another one, from a server that has written some. */
    @Test
    fun `a connection to an isolated server carries one request`() {
        decide(fresh, "request-1", isIsolated = true) shouldBe ReuseDecision.Use(fresh)

        val used = fresh.carrying("request-1")
        decide(used, "request-2", isIsolated = true) shouldBe ReuseDecision.Close(ConnectionCloseReason.SERVER_ISOLATED)
    }

    private fun decide(
        history: ConnectionHistory,
        requestId: String,
        isIsolated: Boolean = false,
    ): ReuseDecision = ConnectionReuse.decide(history, requestId, isIsolated)
}
