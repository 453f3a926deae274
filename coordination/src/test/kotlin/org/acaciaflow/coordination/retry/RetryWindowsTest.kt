package org.acaciaflow.coordination.retry

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.retry.RetryWindow
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class RetryWindowsTest : AnnotationSpec() {
    private val pool = PoolName("pool")
    private val bounds = RetryBounds(ratio = 0.2, slack = 20.0, window = 10.seconds)

    @Test
    fun `the retries of all gateways stay within the bounds in every window`() {
        for (seed in 1..30) {
            val random = Random(seed)
            val gateways = 4
            val windows = MutableList<PersistentMap<PoolName, RetryWindow>>(gateways) { persistentMapOf() }
            val requests = mutableListOf<Long>()
            val retries = mutableListOf<Long>()

            for (millisecond in 0L..40_000L step 10) {
                val gateway = random.nextInt(gateways)
                val now = Instant.fromEpochMilliseconds(millisecond)
                if (random.nextInt(3) == 0) {
                    windows[gateway] = RetryWindows.countRequest(windows[gateway], pool, now)
                    requests += millisecond
                }
                val step = RetryWindows.tryCountRetry(windows[gateway], pool, bounds, gateways, now)
                windows[gateway] = step.state
                if (step.outcome) retries += millisecond
            }

            for (end in 10_000L..40_000L step 250) {
                val span = end - 10_000 until end
                val allowed = bounds.ratio * requests.count { it in span } + bounds.slack
                retries.count { it in span }.toDouble() shouldBeLessThanOrEqual allowed
            }
        }
    }

    @Test
    fun `a single gateway may use 80 percent of the slack without any request`() {
        var windows: PersistentMap<PoolName, RetryWindow> = persistentMapOf()
        var granted = 0

        repeat(100) {
            val step = RetryWindows.tryCountRetry(windows, pool, bounds, gateways = 1, Instant.fromEpochSeconds(100))
            windows = step.state
            if (step.outcome) granted += 1
        }

        granted shouldBe 16
    }
}
