package org.acaciaflow.coordination.connection

import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.connection.ContradictionDelay
import org.acaciaflow.state.connection.ContradictionDelays
import org.acaciaflow.state.identity.PoolName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Learns from the contradictions of a pool's servers for how long their answers have to be held. */
object HoldLength {
    /** Adds to [known] that an answer of [pool] was contradicted at [now], [delay] after its end. */
    fun recorded(
        known: ContradictionDelays,
        pool: PoolName,
        delay: Duration,
        now: Instant,
    ): ContradictionDelays {
        val delays = recent(known, pool, now).takeLast(KEPT - 1).toPersistentList()
        return ContradictionDelays(known.byPool.put(pool, delays.add(ContradictionDelay(delay, now))))
    }

    /**
     * Returns for how long an answer of [pool] is held at [now] at most; [longest] is the limit by the settings.
     *
     * The connection to an isolated server is closed before its next request, so delays that exceed the hold are rarely
     * seen; the margin lets it grow again.
     */
    fun of(
        known: ContradictionDelays,
        pool: PoolName,
        longest: Duration,
        now: Instant,
    ): Duration {
        val delays = recent(known, pool, now)
        if (delays.size < SUFFICIENT) return longest
        return (delays.maxOf { it.delay } * MARGIN).coerceIn(minOf(SHORTEST, longest), longest)
    }

    private fun recent(
        known: ContradictionDelays,
        pool: PoolName,
        now: Instant,
    ): List<ContradictionDelay> =
        known.byPool[pool].orEmpty().filter { now - it.seenAt < ConnectionIsolation.MEMORY_TIME }

    /** The contradictions of a pool that must be known before its holds are shorter than the limit. */
    const val SUFFICIENT = 8

    /** The contradictions of a pool that are kept. */
    const val KEPT = 32

    /** How long answers are held at least once delays are known. */
    val SHORTEST: Duration = 100.milliseconds

    private const val MARGIN = 1.25
}
