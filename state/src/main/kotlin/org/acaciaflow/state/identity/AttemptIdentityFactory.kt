package org.acaciaflow.state.identity

import java.util.concurrent.atomic.AtomicLong

/** Numbers the attempts of one process life, each number used once. */
class AttemptIdentityFactory(
    private val process: ProcessIdentity,
) {
    private val last = AtomicLong()

    fun next(): AttemptIdentity = AttemptIdentity(process, last.incrementAndGet())
}
