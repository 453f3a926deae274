package org.acaciaflow.coordination.connection

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.connection.ContradictionDelays
import org.acaciaflow.state.identity.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

class HoldLengthTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_780_000_000)
    private val pool = PoolName("pool")
    private val longest = 400.milliseconds

    /** Guards against a hold that is shorter than the first failures are late. */
    @Test
    fun `answers are held for the longest time until enough delays are known`() {
        of(ContradictionDelays.NONE) shouldBe longest
        of(delays(List(HoldLength.SUFFICIENT - 1) { 120.milliseconds })) shouldBe longest
        of(delays(List(HoldLength.SUFFICIENT) { 120.milliseconds })) shouldBe 150.milliseconds
    }

    /** Guards against failures that come just after the end of the hold. */
    @Test
    fun `the longest delay counts with a margin within the limits`() {
        of(delays(List(8) { 10.milliseconds } + 200.milliseconds)) shouldBe 250.milliseconds
        of(delays(List(8) { 10.milliseconds })) shouldBe HoldLength.SHORTEST
        of(delays(List(8) { 390.milliseconds })) shouldBe longest
        of(delays(List(8) { 10.milliseconds }), longest = 50.milliseconds) shouldBe 50.milliseconds
        of(delays(List(8) { 10.milliseconds }), longest = Duration.ZERO) shouldBe Duration.ZERO
    }

    /** Guards against a hold that follows servers which have long been replaced, and memory that grows. */
    @Test
    fun `old delays and those of other pools do not count`() {
        val known = delays(List(8) { 120.milliseconds })

        HoldLength.of(known, pool, longest, now + 9.minutes) shouldBe 150.milliseconds
        HoldLength.of(known, pool, longest, now + 10.minutes) shouldBe longest
        HoldLength.of(known, PoolName("other"), longest, now) shouldBe longest
        val many = delays(List(100) { 300.milliseconds } + List(HoldLength.KEPT) { 120.milliseconds })
        many.byPool.getValue(pool).size shouldBe HoldLength.KEPT
        of(many) shouldBe 150.milliseconds
    }

    private fun of(
        known: ContradictionDelays,
        longest: Duration = this.longest,
    ): Duration = HoldLength.of(known, pool, longest, now)

    private fun delays(seen: List<Duration>): ContradictionDelays =
        seen.fold(ContradictionDelays.NONE) { known, delay -> HoldLength.recorded(known, pool, delay, now) }
}
