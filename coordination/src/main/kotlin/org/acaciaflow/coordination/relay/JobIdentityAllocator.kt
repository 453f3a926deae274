package org.acaciaflow.coordination.relay

import org.acaciaflow.state.load.JobIdentity
import java.util.concurrent.atomic.AtomicLong

/** Allocates job identities that are unique within this process. */
internal class JobIdentityAllocator {
    private val last = AtomicLong()

    fun next(): JobIdentity = JobIdentity(last.incrementAndGet())
}
