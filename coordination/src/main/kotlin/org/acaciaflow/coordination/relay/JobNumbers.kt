package org.acaciaflow.coordination.relay

import org.acaciaflow.state.load.JobIdentity
import java.util.concurrent.atomic.AtomicLong

/** Numbers the pieces of work of this process. */
internal class JobNumbers {
    private val last = AtomicLong()

    fun next(): JobIdentity = JobIdentity(last.incrementAndGet())
}
