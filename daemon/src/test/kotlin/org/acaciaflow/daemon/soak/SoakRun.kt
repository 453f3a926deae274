package org.acaciaflow.daemon.soak

import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * What the backend servers of one run share.
 *
 * The faults of a run follow from [seed]. [clock] returns the milliseconds since the start of the run.
 */
internal class SoakRun(
    val seed: Long,
    val account: Account,
    val clock: () -> Long,
) {
    private val connections = AtomicLong()

    /** The handles of all engines of the run. */
    val handles = HandleTable()

    /** Returns a number that no other connection of the run has. */
    fun newConnection(): Long = connections.incrementAndGet()

    /** Returns the source of all random choices for the arrival with [stamp]: the same ones for the same seed. */
    fun randomFor(stamp: String): Random = Random(seed * PRIME + stamp.hashCode())

    private companion object {
        const val PRIME = 1_000_003L
    }
}

/** A run that begins at the present time. */
internal fun soakRun(
    seed: Long,
    account: Account = Account(),
): SoakRun {
    val start = System.nanoTime()
    return SoakRun(seed, account) { (System.nanoTime() - start) / NANOSECONDS_PER_MILLISECOND }
}

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
