package org.acaciaflow.state.identity

import java.util.concurrent.atomic.AtomicLong

/** Issues the attempt identities of one process lifetime; safe for use by several threads. */
class AttemptIdentityFactory(
    private val process: ProcessIdentity,
) {
    private val lastSequence = AtomicLong()

    fun next(): AttemptIdentity = AttemptIdentity(process, lastSequence.incrementAndGet())
}
