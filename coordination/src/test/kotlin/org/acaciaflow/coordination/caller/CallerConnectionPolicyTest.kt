package org.acaciaflow.coordination.caller

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CallerConnectionPolicyTest : AnnotationSpec() {
    private val start = Instant.fromEpochMilliseconds(1_000_000)
    private val timeouts = CallerTimeouts(head = 3.seconds, idle = 15.seconds)
    private val idle = CallerConnectionState(openCalls = 0, headBegunAt = null, lastUsedAt = start)

    @Test
    fun `an idle connection is closed once its time is over and not before`() {
        CallerConnectionPolicy.decide(idle, timeouts, start + 14.9.seconds) shouldBe
            CallerConnectionStep.Wait(start + 15.seconds)
        CallerConnectionPolicy.decide(idle, timeouts, start + 15.seconds) shouldBe CallerConnectionStep.CloseIdle
    }

    @Test
    fun `a head that drips is refused by the time of its first byte`() {
        val dripping = idle.copy(headBegunAt = start, lastUsedAt = start + 2.9.seconds)

        CallerConnectionPolicy.decide(dripping, timeouts, start + 2.9.seconds) shouldBe
            CallerConnectionStep.Wait(start + 3.seconds)
        CallerConnectionPolicy.decide(dripping, timeouts, start + 3.seconds) shouldBe CallerConnectionStep.RefuseHead
    }

    @Test
    fun `a connection with an open call is not closed`() {
        val busy = idle.copy(openCalls = 1, headBegunAt = start)

        CallerConnectionPolicy.decide(busy, timeouts, start + 60.seconds) shouldBe CallerConnectionStep.Wait(null)
    }

    @Test
    fun `without limits nothing is closed`() {
        val step = CallerConnectionPolicy.decide(idle, CallerTimeouts.UNBOUNDED, start + 1_000_000_000.milliseconds)

        (step is CallerConnectionStep.Wait) shouldBe true
    }
}
