package org.acaciaflow.transport.direct

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThan
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.state.connection.newConnectionHistory
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.work.AnswerHead
import kotlin.time.Instant

class AnswerOriginTest : AnnotationSpec() {
    /** Guards against log lines as long as a server's signature, which may fill the head of its answer. */
    @Test
    fun `a long signature is shortened for the log`() {
        val answers = AnswerReader(LongSignature, createBackendAvailability(), createConnectionObserver())
        val order = orderTo(HostAddress("127.0.0.1", 1), "request-1")
        val call = SentCall(order, CallPurpose.RUN, newConnectionHistory(number = 1), sentAt = Instant.DISTANT_PAST)

        val origin = answers.originOf(call, AnswerHead(200, persistentListOf()))

        origin.signature.orEmpty().length shouldBeLessThan 100
    }

    private object LongSignature : BackendDialect by TestDialect {
        override fun signature(head: AnswerHead): String = "s".repeat(60_000)
    }
}
