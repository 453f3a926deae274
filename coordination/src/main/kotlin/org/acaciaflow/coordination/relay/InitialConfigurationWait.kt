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
 * Delays the first calls of a process until a configuration has been read.
 *
 * When all gateways restart, calls arrive before the store has answered. Refusing a call then would use up one of the
 * few attempts that its caller makes.
 */
class InitialConfigurationWait(
    private val routing: SharedTable<KnownRouting>,
    private val startedAt: Instant,
) {
    /** Waits until a configuration is known, but no longer than the first second after the process started. */
    suspend fun await(clock: Clock) {
        while (mayStillArrive(clock.now())) delay(CHECK_INTERVAL)
    }

    private fun mayStillArrive(now: Instant): Boolean =
        !routing.snapshot().configuration.known && now - startedAt < MAXIMUM_WAIT

    private companion object {
        val MAXIMUM_WAIT: Duration = 1.seconds // allows several reads from the store, which answers in milliseconds
        val CHECK_INTERVAL: Duration = 10.milliseconds
    }
}
