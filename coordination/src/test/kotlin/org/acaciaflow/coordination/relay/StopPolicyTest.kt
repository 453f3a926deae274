package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StopPolicyTest : AnnotationSpec() {
    private val requestedAt = Instant.fromEpochSeconds(1000)
    private val notice = StopNotice(requestedAt = requestedAt, endsAt = requestedAt + 7.seconds)
    private val draining = StopPhase.Draining(notice)
    private val stream = RequestKind.EventStream(resumable = false)

    @Test
    fun `long streams are admitted only while the load balancer still sends them`() {
        mayAdmit(stream, timeout = 4.seconds, after = 1.seconds) shouldBe true
        mayAdmit(stream, timeout = 4.seconds, after = 4.seconds) shouldBe false
    }

    @Test
    fun `a call is admitted only while it can end before the process exits`() {
        mayAdmit(RequestKind.AtMostOnce, timeout = 600.milliseconds, after = 6.seconds) shouldBe true
        mayAdmit(RequestKind.AtMostOnce, timeout = 600.milliseconds, after = 6.5.seconds) shouldBe false
    }

    /** Guards against calls with a long timeout that are passed on late in a stop and cut when the process ends. */
    @Test
    fun `a call that may not be repeated is refused once its timeout reaches past the end of the process`() {
        mayAdmit(RequestKind.AtMostOnce, timeout = 6.seconds, after = 0.5.seconds) shouldBe true
        mayAdmit(RequestKind.AtMostOnce, timeout = 6.seconds, after = 1.5.seconds) shouldBe false
        mayAdmit(RequestKind.Idempotent, timeout = 6.seconds, after = 1.5.seconds) shouldBe true
        mayAdmit(RequestKind.Idempotent, timeout = 6.seconds, after = 4.4.seconds) shouldBe false
    }

    @Test
    fun `a process that closes its connections admits nothing`() {
        listOf(RequestKind.Idempotent, RequestKind.AtMostOnce, stream).forEach { kind ->
            StopPolicy.mayAdmit(kind, requestedAt + 1.seconds, StopPhase.Closing, requestedAt) shouldBe false
        }
    }

    private fun mayAdmit(
        kind: RequestKind,
        timeout: Duration,
        after: Duration,
    ): Boolean = StopPolicy.mayAdmit(kind, requestedAt + after + timeout, draining, requestedAt + after)
}
