package org.acaciaflow.transport.worker

import java.util.concurrent.ThreadFactory
import java.util.concurrent.atomic.AtomicInteger

/** Creates daemon threads named `prefix-1`, `prefix-2` and so on. */
internal class NamedThreadFactory(
    private val prefix: String,
) : ThreadFactory {
    private val created = AtomicInteger()

    override fun newThread(task: Runnable): Thread {
        val thread = Thread(task, "$prefix-${created.incrementAndGet()}")
        thread.isDaemon = true
        return thread
    }
}
