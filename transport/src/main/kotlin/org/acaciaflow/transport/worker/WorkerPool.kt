package org.acaciaflow.transport.worker

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Observations
import java.util.concurrent.Executors

/**
 * A fixed pool of threads that runs all work on the shared tables.
 *
 * Each worker is a coroutine that runs one task at a time; a suspended worker occupies no thread.
 */
class WorkerPool internal constructor(
    private val dispatcher: CoroutineDispatcher,
    private val observations: Observations,
) : AutoCloseable {
    private val exceptionHandler =
        CoroutineExceptionHandler { _, failure -> observations.event(Event.WorkerFailed(failure)) }

    /** Scope of all coroutines on the pool's threads. */
    val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)

    /** Starts [count] workers that each run [step] in a loop; [step] suspends while there is no work. */
    fun startWorkers(
        count: Int,
        step: suspend () -> Unit,
    ) {
        repeat(count) { scope.launch { runWorker(step) } }
    }

    private suspend fun CoroutineScope.runWorker(step: suspend () -> Unit) {
        while (isActive) {
            try {
                step()
            } catch (cancellation: CancellationException) {
                if (!isActive) throw cancellation
            } catch (failure: Exception) {
                observations.event(Event.WorkerFailed(failure))
            }
        }
    }

    override fun close() {
        scope.cancel()
        if (dispatcher is AutoCloseable) dispatcher.close()
    }
}

/** Creates a pool of [threads] threads. */
fun createWorkerPool(
    threads: Int,
    observations: Observations,
): WorkerPool {
    val executor = Executors.newFixedThreadPool(threads, NamedThreadFactory("worker"))
    return WorkerPool(executor.asCoroutineDispatcher(), observations)
}

/** Creates a pool on the threads of [dispatcher], for example an event loop that also serves sockets. */
fun createWorkerPool(
    dispatcher: CoroutineDispatcher,
    observations: Observations,
): WorkerPool = WorkerPool(dispatcher, observations)
