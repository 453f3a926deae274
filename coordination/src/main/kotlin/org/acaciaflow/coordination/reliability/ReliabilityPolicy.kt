package org.acaciaflow.coordination.reliability

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.reliability.ReliabilityRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Rates the reliability of backend servers by the outcomes of this gateway's own requests. */
object ReliabilityPolicy {
    /** Adds the verdict on a run that ended at [now] to the record of [life]. */
    fun recorded(
        records: PersistentMap<BackendLife, ReliabilityRecord>,
        life: BackendLife,
        verdict: RunVerdict,
        now: Instant,
    ): PersistentMap<BackendLife, ReliabilityRecord> {
        val record = records[life] ?: ReliabilityRecord.UNKNOWN
        val next =
            when (verdict) {
                RunVerdict.SUCCEEDED -> succeeded(record)
                RunVerdict.UNREACHABLE -> unreachable(record, now)
                RunVerdict.FAILED, RunVerdict.REFUSED -> averaged(record, failure = 1.0)
            }
        return records.put(life, next)
    }

    /** Returns by how much the failure share of a backend server exceeds [mean], that of its pool; from 0 to 1. */
    fun excessFailureShare(
        record: ReliabilityRecord?,
        mean: Double,
    ): Double = ((record?.failureShare ?: 0.0) - mean).coerceAtLeast(0.0)

    /** Returns the mean failure share of [lives]; 0 if the list is empty. */
    fun meanFailureShare(
        records: PersistentMap<BackendLife, ReliabilityRecord>,
        lives: List<BackendLife>,
    ): Double = if (lives.isEmpty()) 0.0 else lives.sumOf { records[it]?.failureShare ?: 0.0 } / lives.size

    private fun succeeded(record: ReliabilityRecord): ReliabilityRecord =
        averaged(record, failure = 0.0).copy(connectFailures = 0, backoffUntil = Instant.DISTANT_PAST)

    private fun unreachable(
        record: ReliabilityRecord,
        now: Instant,
    ): ReliabilityRecord {
        val doublings = record.connectFailures.coerceAtMost(MAXIMUM_BACKOFF_DOUBLINGS)
        val backoff = INITIAL_BACKOFF * (1 shl doublings)
        return record.copy(connectFailures = record.connectFailures + 1, backoffUntil = now + backoff)
    }

    private fun averaged(
        record: ReliabilityRecord,
        failure: Double,
    ): ReliabilityRecord =
        record.copy(failureShare = record.failureShare * (1 - SAMPLE_WEIGHT) + failure * SAMPLE_WEIGHT)

    /** A server whose running streams have sent nothing for longer than this gets no new work. */
    val STREAM_SILENCE_LIMIT: Duration = 400.milliseconds // several decode steps of a full batch

    private const val SAMPLE_WEIGHT = 0.15 // averages over roughly the last ten runs
    private const val MAXIMUM_BACKOFF_DOUBLINGS = 3
    private val INITIAL_BACKOFF: Duration = 250.milliseconds // a crashed server restarts within seconds
}
