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
 * A fixed number of threads on which all work on shared tables is done.
 *
 * Workers are coroutines, each serving one piece of work at a time; while a worker waits it holds no thread.
 */
class WorkerPool internal constructor(
    private val dispatcher: CoroutineDispatcher,
    private val observations: Observations,
) : AutoCloseable {
    private val failures =
        CoroutineExceptionHandler { _, failure -> observations.event(Event.WorkerFailed(failure)) }

    /** The scope of everything that runs on the pool's threads. */
    val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher + failures)

    /** Starts [count] workers, each repeating [step]. [step] must wait for work by suspending. */
    fun startWorkers(
        count: Int,
        step: suspend () -> Unit,
    ) {
        repeat(count) { scope.launch { work(step) } }
    }

    private suspend fun CoroutineScope.work(step: suspend () -> Unit) {
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

/** Creates a pool whose workers run on the threads of [dispatcher], which also serve its sockets. */
fun createWorkerPool(
    dispatcher: CoroutineDispatcher,
    observations: Observations,
): WorkerPool = WorkerPool(dispatcher, observations)
