package org.acaciaflow.coordination.supervision

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class RestartPolicyTest : AnnotationSpec() {
    @Test
    fun `the pause is never zero and never longer than its maximum`() {
        val random = Random(7)

        (1..100).forEach { failures ->
            val pause = RestartPolicy.pauseAfter(failures, random)
            pause shouldBeGreaterThan Duration.ZERO
            pause shouldBeLessThanOrEqualTo RestartPolicy.MAXIMUM_PAUSE
        }
    }

    @Test
    fun `a failure after a long run counts as the first`() {
        RestartPolicy.consecutiveFailures(before = 4, ran = 1.seconds) shouldBe 5
        RestartPolicy.consecutiveFailures(before = 4, ran = 60.seconds) shouldBe 1
    }
}
