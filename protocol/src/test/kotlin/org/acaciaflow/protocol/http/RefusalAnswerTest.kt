package org.acaciaflow.protocol.http

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.refusal.NotRun
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class RefusalAnswerTest : AnnotationSpec() {
    /** Guards against callers that come back before the time that they were told, and are refused again. */
    @Test
    fun `a retry delay is rounded up to whole seconds`() {
        val delays = listOf(Duration.ZERO, 250.milliseconds, 1.seconds, 1.seconds + 1.nanoseconds, 2_900.milliseconds)

        delays.map(::retryAfter) shouldBe listOf("1", "1", "1", "2", "3")
        retryAfter(null) shouldBe "1"
    }

    private fun retryAfter(delay: Duration?): String? =
        RefusalAnswer
            .of(NotRun.BACKENDS_RESTING, delay)
            .headers
            .singleOrNull { it.name == "Retry-After" }
            ?.value
}
