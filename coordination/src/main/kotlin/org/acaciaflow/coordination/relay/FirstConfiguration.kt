package org.acaciaflow.coordination.relay

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Holds the first calls of a process until it has read a configuration.
 *
 * After a loss of all gateways callers are there before the store has answered; one that is refused then has lost one
 * of its few tries.
 */
internal class FirstConfiguration(
    private val routing: SharedTable<KnownRouting>,
    private val startedAt: Instant,
) {
    /** Waits while a configuration may still come. */
    suspend fun await(clock: Clock) {
        while (mayCome(clock.now())) delay(CHECK_INTERVAL)
    }

    private fun mayCome(now: Instant): Boolean =
        !routing.snapshot().configuration.known && now - startedAt < READ_WITHIN

    private companion object {
        val READ_WITHIN: Duration = 1.seconds // several tries at the store, which answers in milliseconds
        val CHECK_INTERVAL: Duration = 10.milliseconds
    }
}
