package org.acaciaflow.transport.process

import io.ktor.network.selector.SelectorManager
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.Dispatchers
import org.acaciaflow.coordination.port.SocketReads
import org.acaciaflow.transport.observation.MeteredObservations
import org.acaciaflow.transport.worker.WorkerPool
import org.acaciaflow.transport.worker.createEventLoopReads
import org.acaciaflow.transport.worker.createWorkerPool
import kotlin.time.Clock

/** The threads, sockets and meter registry of one daemon. */
internal open class DaemonRuntime(
    val vertx: Vertx,
    val selector: SelectorManager,
    val registry: PrometheusMeterRegistry,
    val observations: MeteredObservations,
    val workers: WorkerPool,
) {
    suspend fun close() {
        workers.close()
        selector.close()
        vertx.close().coAwait()
    }
}

/** Creates a runtime with separate event loops and worker threads. */
internal fun createRuntime(clock: Clock): DaemonRuntime {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val observations = MeteredObservations(registry)
    val workers = createWorkerPool(WORKER_THREADS, observations, clock)
    return DaemonRuntime(
        vertx = Vertx.vertx(vertxOptions(EVENT_LOOP_THREADS)),
        selector = SelectorManager(Dispatchers.IO.limitedParallelism(SELECTOR_THREADS)),
        registry = registry,
        observations = observations,
        workers = workers,
    )
}

/** A runtime with one event loop, whose reads of all sockets are [socketReads]. */
internal class SingleLoopRuntime(
    vertx: Vertx,
    selector: SelectorManager,
    registry: PrometheusMeterRegistry,
    observations: MeteredObservations,
    workers: WorkerPool,
    val socketReads: SocketReads,
) : DaemonRuntime(vertx, selector, registry, observations, workers)

/** Creates a runtime with one event loop, which also runs the workers, for hosts with less than one processor. */
internal fun createSingleLoopRuntime(clock: Clock): SingleLoopRuntime {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val observations = MeteredObservations(registry)
    val vertx = Vertx.vertx(vertxOptions(threads = 1))
    val context = vertx.orCreateContext
    return SingleLoopRuntime(
        vertx = vertx,
        selector = SelectorManager(Dispatchers.IO.limitedParallelism(SELECTOR_THREADS)),
        registry = registry,
        observations = observations,
        workers = createWorkerPool(context.dispatcher(), observations, clock),
        socketReads = createEventLoopReads(context),
    )
}

private fun vertxOptions(threads: Int): VertxOptions =
    VertxOptions()
        .setEventLoopPoolSize(threads)
        .setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1)
        .setFileSystemOptions(FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false))

private const val WORKER_THREADS = 4
private const val SELECTOR_THREADS = 1
private const val EVENT_LOOP_THREADS = 2
