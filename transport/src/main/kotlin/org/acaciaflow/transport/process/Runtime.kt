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
import org.acaciaflow.transport.observation.MeteredObservations
import org.acaciaflow.transport.worker.WorkerPool
import org.acaciaflow.transport.worker.createWorkerPool

/** The threads, sockets and meters of one daemon. */
internal class Runtime(
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

/** Starts the few threads that a daemon needs. */
internal fun createRuntime(): Runtime {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val observations = MeteredObservations(registry)
    val workers = createWorkerPool(WORKER_THREADS, observations)
    return Runtime(
        vertx = Vertx.vertx(vertxOptions(EVENT_LOOP_THREADS)),
        selector = SelectorManager(Dispatchers.IO.limitedParallelism(SELECTOR_THREADS)),
        registry = registry,
        observations = observations,
        workers = workers,
    )
}

/** Starts the one event loop of a daemon whose hosts give it a part of one processor; its workers run there too. */
internal fun createSingleLoopRuntime(): Runtime {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val observations = MeteredObservations(registry)
    val vertx = Vertx.vertx(vertxOptions(threads = 1))
    return Runtime(
        vertx = vertx,
        selector = SelectorManager(Dispatchers.IO.limitedParallelism(SELECTOR_THREADS)),
        registry = registry,
        observations = observations,
        workers = createWorkerPool(vertx.orCreateContext.dispatcher(), observations),
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
