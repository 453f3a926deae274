package org.acaciaflow.coordination.reliability

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.reliability.ReliabilityRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Judges backend servers by what this gateway's own requests met there. */
object ReliabilityPolicy {
    /** The record after one more run that ended as of [now]. */
    fun judged(
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
                RunVerdict.FAILED, RunVerdict.REFUSED -> mixed(record, failure = 1.0)
            }
        return records.put(life, next)
    }

    /** How much worse than its pool a backend server does, from 0 to 1; [mean] is the pool's mean share of failures. */
    fun excess(
        record: ReliabilityRecord?,
        mean: Double,
    ): Double = ((record?.failureShare ?: 0.0) - mean).coerceAtLeast(0.0)

    /** The mean share of failures of [lives]. */
    fun mean(
        records: PersistentMap<BackendLife, ReliabilityRecord>,
        lives: List<BackendLife>,
    ): Double = if (lives.isEmpty()) 0.0 else lives.sumOf { records[it]?.failureShare ?: 0.0 } / lives.size

    private fun succeeded(record: ReliabilityRecord): ReliabilityRecord =
        mixed(record, failure = 0.0).copy(connectFailures = 0, backoffUntil = Instant.DISTANT_PAST)

    private fun unreachable(
        record: ReliabilityRecord,
        now: Instant,
    ): ReliabilityRecord {
        val doublings = record.connectFailures.coerceAtMost(MAXIMUM_DOUBLINGS)
        val avoided = FIRST_AVOIDANCE * (1 shl doublings)
        return record.copy(connectFailures = record.connectFailures + 1, backoffUntil = now + avoided)
    }

    private fun mixed(
        record: ReliabilityRecord,
        failure: Double,
    ): ReliabilityRecord =
        record.copy(failureShare = record.failureShare * (1 - NEWEST_WEIGHT) + failure * NEWEST_WEIGHT)

    /** A server that produces streams and has said nothing for so long is not sent new work. */
    val SILENT_AFTER: Duration = 400.milliseconds // several steps of a full batch

    private const val NEWEST_WEIGHT = 0.15 // some ten runs make a verdict
    private const val MAXIMUM_DOUBLINGS = 3
    private val FIRST_AVOIDANCE: Duration = 250.milliseconds // a crashed server is back after seconds
}
