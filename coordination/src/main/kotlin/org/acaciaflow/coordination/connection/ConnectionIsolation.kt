package org.acaciaflow.coordination.connection

import kotlinx.collections.immutable.toPersistentHashMap
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides which backend servers get a connection for each request.
 *
 * A server that has written a surplus answer may write more of them, and on a connection that carries one request only
 * none of them can come in place of another answer.
 */
object ConnectionIsolation {
    /** Records that [life] wrote a surplus answer that arrived at [now]. */
    fun surplusSeen(
        answers: SurplusAnswers,
        life: BackendLife,
        now: Instant,
    ): SurplusAnswers {
        val recent = answers.lastSeen.filterValues { now - it < ISOLATION_TIME }
        return SurplusAnswers(recent.toPersistentHashMap().put(life, now))
    }

    /** Returns true if each request to [life] needs a connection of its own at [now]. */
    fun isIsolated(
        answers: SurplusAnswers,
        life: BackendLife,
        now: Instant,
    ): Boolean = answers.lastSeen[life]?.let { now - it < ISOLATION_TIME } == true

    /** Returns how many servers are isolated at [now]. */
    fun countIsolated(
        answers: SurplusAnswers,
        now: Instant,
    ): Int = answers.lastSeen.values.count { now - it < ISOLATION_TIME }

    /** How long after its last surplus answer a server gets a connection for each request. */
    val ISOLATION_TIME: Duration = 30.seconds
}
