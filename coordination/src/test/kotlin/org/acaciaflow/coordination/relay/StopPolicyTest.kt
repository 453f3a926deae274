package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StopPolicyTest : AnnotationSpec() {
    private val requestedAt = Instant.fromEpochSeconds(1000)
    private val notice = StopNotice(requestedAt = requestedAt, endsAt = requestedAt + 7.seconds)
    private val stream = route(RequestKind.EventStream(resumable = false))
    private val call = route(RequestKind.AtMostOnce).copy(timeout = 600.milliseconds)

    @Test
    fun `streams are admitted only while the load balancer still sends them`() {
        StopPolicy.mayAdmit(stream, notice, requestedAt + 1.seconds) shouldBe true
        StopPolicy.mayAdmit(stream, notice, requestedAt + 4.seconds) shouldBe false
    }

    @Test
    fun `a call is admitted only while it can end before the process exits`() {
        StopPolicy.mayAdmit(call, notice, requestedAt + 6.seconds) shouldBe true
        StopPolicy.mayAdmit(call, notice, requestedAt + 6.5.seconds) shouldBe false
    }
}
