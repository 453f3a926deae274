package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StallTimeoutsTest : AnnotationSpec() {
    private val route = route(RequestKind.EventStream(true))

    @Test
    fun `a run goes on while its silent engine may still be prefilling a long prompt`() {
        val prefill = 1200.milliseconds

        val timeouts = StallTimeouts.forStream(route, predicted = prefill, timeLeft = 8.seconds)

        timeouts.serverSilence.shouldNotBeNull() shouldBeGreaterThan prefill * 2
    }

    @Test
    fun `a run on an engine without queued prompts is retried before its caller gives up`() {
        val timeouts = StallTimeouts.forStream(route, predicted = 5.milliseconds, timeLeft = 8.seconds)

        timeouts.serverSilence.shouldNotBeNull() shouldBeLessThan 2.seconds
        timeouts.betweenData.shouldNotBeNull() shouldBeLessThan 2.seconds
    }
}
