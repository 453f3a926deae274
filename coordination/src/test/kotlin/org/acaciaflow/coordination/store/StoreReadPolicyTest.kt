package org.acaciaflow.coordination.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.acaciaflow.coordination.port.StoreFailure
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StoreReadPolicyTest : AnnotationSpec() {
    /** Guards against gateways that all read the store without a pause when it forgets its history. */
    @Test
    fun `the first read starts at once, and further ones wait for up to about a second`() {
        val random = Random(37)

        val pauses = List(20) { reads -> StoreReadPolicy.pauseBefore(reads, random) }

        pauses.first() shouldBe Duration.ZERO
        pauses.drop(1).forEach { it shouldBeGreaterThanOrEqualTo 100.milliseconds }
        pauses.drop(4).forEach { it shouldBeGreaterThanOrEqualTo 800.milliseconds }
        pauses.forEach { it shouldBeLessThanOrEqualTo 1200.milliseconds }
    }

    @Test
    fun `gateways that lose their place together read at different times`() {
        val pauses = List(100) { StoreReadPolicy.pauseBefore(reads = 5, Random(it)) }

        pauses.toSet().size shouldBe 100
    }

    @Test
    fun `only an answer that may have been lost on the way is asked for again`() {
        val first = StoreFailure.entries.associateWith { StoreReadPolicy.afterFailedWatch(it, failures = 1) }
        val second = StoreFailure.entries.associateWith { StoreReadPolicy.afterFailedWatch(it, failures = 2) }

        first.filterValues { it == AfterFailedWatch.ASK_AGAIN }.keys shouldBe
            setOf(
                StoreFailure.UNREACHABLE,
                StoreFailure.REJECTED,
                StoreFailure.ANSWER_LOST,
                StoreFailure.PAST_ERA,
            )
        second.filterValues { it == AfterFailedWatch.ASK_AGAIN }.keys.shouldBeEmpty()
    }
}
