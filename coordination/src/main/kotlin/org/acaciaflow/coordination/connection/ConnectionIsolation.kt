package org.acaciaflow.coordination.connection

import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.connection.SurplusRecord
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides which backend servers are isolated: they get a connection for each request, and plain calls only when no other
 * server of their pool has room.
 *
 * A server that has written a surplus answer may write more of them. On a connection that carries one request only none
 * of them can come in place of another answer, but one that bears the id of the request can't be told from its answer.
 */
object ConnectionIsolation {
    /** Records that [life] wrote a surplus answer that arrived at this gateway at [now]. */
    fun surplusSeen(
        answers: SurplusAnswers,
        life: BackendLife,
        now: Instant,
    ): SurplusAnswers = recorded(answers, life, seenAt = now, now) { it.copy(ownLastSeen = now) }

    /**
     * Records that [life] wrote a surplus answer that arrived at another gateway at [seenAt], as told at [now].
     *
     * It isolates the server for [isolationTime] at that gateway. What is known of a later one stays.
     */
    fun surplusReported(
        answers: SurplusAnswers,
        life: BackendLife,
        seenAt: Instant,
        isolationTime: Duration,
        now: Instant,
    ): SurplusAnswers {
        val isKnown = answers.byLife[life]?.let { seenAt <= it.lastSeen } == true
        if (isKnown || now - seenAt >= MEMORY_TIME) return answers
        val reported = minOf(isolationTime, MAXIMUM_ISOLATION_TIME)
        return recorded(answers, life, minOf(seenAt, now), now) {
            it.copy(isolationTime = maxOf(it.isolationTime, reported))
        }
    }

    /**
     * Returns true if an answer with [answerIds], which came in place of another one, is a surplus one.
     *
     * One without an id may be the only answer to the first request of its connection, with the [history] before it:
     * servers refuse requests that they can't read without repeating their ids.
     */
    fun isSurplus(
        history: ConnectionHistory,
        answerIds: List<String>,
    ): Boolean = answerIds.isNotEmpty() || history.carried.isNotEmpty()

    /** Returns true if [life] is isolated at [now]. */
    fun isIsolated(
        answers: SurplusAnswers,
        life: BackendLife,
        now: Instant,
    ): Boolean = answers.byLife[life]?.let { now < it.isolatedUntil } == true

    /** Returns true if a surplus answer of [life] is remembered at [now], also after its isolation. */
    fun isRemembered(
        answers: SurplusAnswers,
        life: BackendLife,
        now: Instant,
    ): Boolean = answers.byLife[life]?.let { now - it.lastSeen < MEMORY_TIME } == true

    /** Returns for how long [life] is isolated by [after] if it is not by [before] at [now]; null otherwise. */
    fun begun(
        before: SurplusAnswers,
        after: SurplusAnswers,
        life: BackendLife,
        now: Instant,
    ): Duration? {
        if (isIsolated(before, life, now) || !isIsolated(after, life, now)) return null
        return after.byLife[life]?.isolationTime
    }

    /** Returns the surplus answers to this gateway itself that isolate their servers at [now]. */
    fun own(
        answers: SurplusAnswers,
        now: Instant,
    ): Map<BackendLife, OwnSurplus> =
        answers.byLife
            .mapNotNull { (life, record) ->
                record.ownLastSeen?.let { life to OwnSurplus(now - it, record.isolationTime) }
            }.filter { (_, own) -> own.age < own.isolationTime }
            .toMap()

    /** Returns how many servers are isolated at [now]. */
    fun countIsolated(
        answers: SurplusAnswers,
        now: Instant,
    ): Int = answers.byLife.values.count { now < it.isolatedUntil }

    private fun recorded(
        answers: SurplusAnswers,
        life: BackendLife,
        seenAt: Instant,
        now: Instant,
        complete: (SurplusRecord) -> SurplusRecord,
    ): SurplusAnswers {
        val remembered = withoutOld(answers, now).byLife
        return SurplusAnswers(remembered.put(life, complete(extended(remembered[life], seenAt))))
    }

    /** Drops the servers whose last surplus answer is so long ago that it no longer counts. */
    private fun withoutOld(
        answers: SurplusAnswers,
        now: Instant,
    ): SurplusAnswers {
        val old = answers.byLife.filterValues { now - it.lastSeen >= MEMORY_TIME }.keys
        return SurplusAnswers(old.fold(answers.byLife) { kept, life -> kept.remove(life) })
    }

    private fun extended(
        known: SurplusRecord?,
        seenAt: Instant,
    ): SurplusRecord =
        when {
            known == null -> SurplusRecord(seenAt, ownLastSeen = null, ISOLATION_TIME)
            seenAt >= known.isolatedUntil -> SurplusRecord(seenAt, known.ownLastSeen, doubled(known.isolationTime))
            seenAt > known.lastSeen -> known.copy(lastSeen = seenAt)
            else -> known
        }

    private fun doubled(isolationTime: Duration): Duration = minOf(isolationTime * 2, MAXIMUM_ISOLATION_TIME)

    /**
     * How long after its last surplus answer a server is isolated, the first time.
     *
     * It doubles each time that the server writes one after its isolation has ended.
     */
    val ISOLATION_TIME: Duration = 30.seconds

    /** How long after its last surplus answer a server is isolated at most. */
    val MAXIMUM_ISOLATION_TIME: Duration = 4.minutes

    /** A server that has written no surplus answer for this time is isolated as if for the first time. */
    val MEMORY_TIME: Duration = 10.minutes
}

/** The last surplus answer of a server to this gateway arrived [age] ago and isolates it for [isolationTime]. */
data class OwnSurplus(
    val age: Duration,
    val isolationTime: Duration,
)
