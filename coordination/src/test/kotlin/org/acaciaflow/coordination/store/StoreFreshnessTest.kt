package org.acaciaflow.coordination.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.store.StoreKnowledge
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StoreFreshnessTest : AnnotationSpec() {
    private val start = Instant.fromEpochMilliseconds(1_000_000)

    /** Guards against gateways whose knowledge of the store stands still while nothing says so. */
    @Test
    fun `knowledge is stale once the store has not answered for ten seconds, whatever else happened`() {
        val known = StoreFreshness.answered(StoreKnowledge.NONE, revisionAt(5), start)
        val failing = StoreFreshness.failed(StoreFreshness.unreadable(known, "servers/x: slots"), start + 3.seconds)

        StoreFreshness.isStale(failing, start + 9_999.milliseconds) shouldBe false
        StoreFreshness.isStale(failing, start + 10.seconds) shouldBe true
        StoreFreshness.isStale(
            StoreFreshness.answered(failing, revisionAt(6), start + 10.seconds),
            start + 10.seconds,
        ) shouldBe
            false
    }

    @Test
    fun `a process that never had an answer is not stale but unsynchronized`() {
        StoreFreshness.isStale(StoreKnowledge.NONE, start + 60.seconds) shouldBe false
    }

    @Test
    fun `a series of failures keeps its first time, and an answer ends it`() {
        val failing = StoreFreshness.failed(StoreFreshness.failed(StoreKnowledge.NONE, start), start + 1.seconds)

        val recovered = StoreFreshness.answered(failing, revisionAt(1), start + 2.seconds)

        failing.failingSince shouldBe start
        recovered.failingSince shouldBe null
        recovered.recoveredAt shouldBe start + 2.seconds
    }
}
