package org.acaciaflow.transport.worker

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.withTimeout
import org.acaciaflow.state.loop.LoopState
import org.acaciaflow.transport.observation.MeteredObservations
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Clock
import kotlin.time.Duration.Companion.seconds

class WorkerPoolTest : AnnotationSpec() {
    private val registry = SimpleMeterRegistry()
    private val pool = createWorkerPool(threads = 1, MeteredObservations(registry), Clock.System)

    @AfterAll
    fun close() = pool.close()

    /** Guards against a loop, such as the watch of the store, that ends unseen for the rest of the process's life. */
    @Test
    suspend fun `a loop that fails is counted and runs again`() {
        runsAgainAfter(IllegalStateException("the loop fails once"))
        runsAgainAfter(StackOverflowError())

        registry.counter("acaciaflow.events", "kind", "loop_failed").count() shouldBe 2.0
    }

    @Test
    suspend fun `a worker outlives a task that overflows the stack`() {
        val tasks = AtomicInteger()
        val served = CompletableDeferred<Unit>()

        pool.startWorkers(1) {
            if (tasks.incrementAndGet() == 1) throw StackOverflowError()
            served.complete(Unit)
            awaitCancellation()
        }

        withTimeout(10.seconds) { served.await() }
    }

    private suspend fun runsAgainAfter(failure: Throwable) {
        val runs = AtomicInteger()
        val restarted = CompletableDeferred<Unit>()

        pool.startLoop("loop") {
            if (runs.incrementAndGet() == 1) throw failure
            restarted.complete(Unit)
            awaitCancellation()
        }

        withTimeout(10.seconds) { restarted.await() }
        pool.loops
            .getValue("loop")
            .shouldBeInstanceOf<LoopState.Running>()
            .restarts shouldBe 1
    }
}
