package org.acaciaflow.transport.worker

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.supervision.RestartPolicy
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.loop.LoopState
import org.acaciaflow.state.table.createSharedTable
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Clock

/**
 * A fixed pool of threads that runs all work on the shared tables.
 *
 * Each worker is a coroutine that runs one task at a time; a suspended worker occupies no thread.
 */
class WorkerPool internal constructor(
    private val dispatcher: CoroutineDispatcher,
    private val observations: Observations,
    private val clock: Clock,
) : LoopSupervisor,
    AutoCloseable {
    private val exceptionHandler =
        CoroutineExceptionHandler { _, failure -> observations.event(Event.WorkerFailed(failure)) }

    private val loopStates = createSharedTable(LockOrder.LOOPS, NO_LOOPS)

    /** Scope of all coroutines on the pool's threads. */
    val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)

    /** The states of the loops that have not returned, by name. */
    val loops: PersistentMap<String, LoopState>
        get() = loopStates.snapshot()

    /** Starts [count] workers that each run [step] in a loop; [step] suspends while there is no work. */
    fun startWorkers(
        count: Int,
        step: suspend () -> Unit,
    ) {
        repeat(count) { scope.launch { runWorker(step) } }
    }

    override fun startLoop(
        name: String,
        loop: suspend () -> Unit,
    ) {
        scope.launch { supervise(name, loop) }
    }

    private suspend fun CoroutineScope.runWorker(step: suspend () -> Unit) {
        while (isActive) {
            val failure = failureOf(step) ?: continue
            observations.event(Event.WorkerFailed(failure))
        }
    }

    private suspend fun supervise(
        name: String,
        loop: suspend () -> Unit,
    ) {
        var restarts = 0
        var failures = 0
        while (true) {
            val startedAt = clock.now()
            loopStates.update { it.put(name, LoopState.Running(restarts)) }
            val failure = failureOf(loop) ?: break
            failures = RestartPolicy.consecutiveFailures(failures, ran = clock.now() - startedAt)
            val pause = RestartPolicy.pauseAfter(failures, Random.Default)
            restarts += 1
            loopStates.update { it.put(name, LoopState.Restarting(restarts, failure.toString(), pause)) }
            observations.event(Event.LoopFailed(name, failures, pause, failure))
            delay(pause)
        }
        loopStates.update { it.remove(name) }
    }

    /** Runs [block]; returns what it throws, or null if it returns. Rethrows the cancellation of this coroutine. */
    private suspend fun failureOf(block: suspend () -> Unit): Throwable? =
        try {
            block()
            null
        } catch (cancellation: CancellationException) {
            currentCoroutineContext().ensureActive()
            cancellation
        } catch (failure: Exception) {
            failure
        } catch (overflow: StackOverflowError) {
            overflow // the stack is unwound by now, so the pool is as sound as before
        }

    override fun close() {
        scope.cancel()
        if (dispatcher is AutoCloseable) dispatcher.close()
    }

    private companion object {
        val NO_LOOPS: PersistentMap<String, LoopState> = persistentMapOf()
    }
}

/** Creates a pool of [threads] threads. */
fun createWorkerPool(
    threads: Int,
    observations: Observations,
    clock: Clock,
): WorkerPool {
    val executor = Executors.newFixedThreadPool(threads, NamedThreadFactory("worker"))
    return WorkerPool(executor.asCoroutineDispatcher(), observations, clock)
}

/** Creates a pool on the threads of [dispatcher], for example an event loop that also serves sockets. */
fun createWorkerPool(
    dispatcher: CoroutineDispatcher,
    observations: Observations,
    clock: Clock,
): WorkerPool = WorkerPool(dispatcher, observations, clock)
