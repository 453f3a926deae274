package org.acaciaflow.coordination.connection

import org.acaciaflow.state.connection.PoolTroubles
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.table.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides which plain successes get a line in the log, so that a wrong one can be found by the id of its request.
 *
 * Those of a pool get one while one of its servers failed, answered twice or broke an answer off not long ago.
 */
object SuccessLines {
    /** Records that a server of [pool] failed, answered twice or broke an answer off at [now]. */
    fun troubleSeen(
        known: PoolTroubles,
        pool: PoolName,
        now: Instant,
    ): PoolTroubles {
        val over = known.lastSeen.filterValues { now - it >= MEMORY_TIME }.keys
        return known.copy(lastSeen = over.fold(known.lastSeen) { kept, old -> kept.remove(old) }.put(pool, now))
    }

    /** Decides whether a success of [pool] that is passed on at [now] gets a line. */
    fun decide(
        known: PoolTroubles,
        pool: PoolName,
        now: Instant,
    ): Transition<PoolTroubles, SuccessLine> {
        val isTroubled = known.lastSeen[pool]?.let { now - it < MEMORY_TIME } == true
        if (!isTroubled) return Transition(known, SuccessLine.NotNeeded)
        val isNewPeriod = now - known.periodBegan >= PERIOD
        val current = if (isNewPeriod) known.copy(periodBegan = now, written = 0) else known
        if (current.written >= MAXIMUM_LINES) {
            return Transition(current.copy(leftOut = current.leftOut + 1), SuccessLine.LeftOut)
        }
        return Transition(
            current.copy(written = current.written + 1, leftOut = 0),
            SuccessLine.Written(current.leftOut),
        )
    }

    /** How long after the last trouble of a pool its successes get lines. */
    val MEMORY_TIME: Duration = 1.minutes

    /** How many lines are written in each [PERIOD] at most; one line has some 400 bytes. */
    const val MAXIMUM_LINES = 200

    private val PERIOD: Duration = 1.seconds
}

/** Whether a success gets a line in the log. */
sealed interface SuccessLine {
    data object NotNeeded : SuccessLine

    /** The limit on lines is reached. */
    data object LeftOut : SuccessLine

    /** The line says that [leftOut] lines were left out before it. */
    data class Written(
        val leftOut: Int,
    ) : SuccessLine
}
