package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StopPolicyTest : AnnotationSpec() {
    private val asked = Instant.fromEpochSeconds(1000)
    private val notice = StopNotice(requestedAt = asked, endsAt = asked + 7.seconds)
    private val stream = route(RequestKind.EventStream(resumable = false))
    private val call = route(RequestKind.AtMostOnce).copy(timeout = 600.milliseconds)

    @Test
    fun `streams are taken while the balancer still sends them and not later`() {
        StopPolicy.mayTake(stream, notice, asked + 1.seconds) shouldBe true
        StopPolicy.mayTake(stream, notice, asked + 4.seconds) shouldBe false
    }

    @Test
    fun `a call is taken while it can end in time`() {
        StopPolicy.mayTake(call, notice, asked + 6.seconds) shouldBe true
        StopPolicy.mayTake(call, notice, asked + 6.5.seconds) shouldBe false
    }
}
