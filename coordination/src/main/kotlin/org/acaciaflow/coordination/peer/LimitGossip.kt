package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.limit.LimitWord
import org.acaciaflow.state.limit.ServerLimit
import org.acaciaflow.state.peer.ReportedLimit
import org.acaciaflow.state.peer.ReportedLimitWord
import org.acaciaflow.state.table.SharedTable
import kotlin.time.Duration
import kotlin.time.Instant

/** Puts the limits of servers and this gateway's demands into reports, and applies those of peers. */
internal class LimitGossip(
    private val fleet: SharedTable<Fleet>,
    private val budget: LimitBudget,
) {
    /**
     * Returns the limits to report at [now] to [receivers] gateways in the report with the number [sequence].
     *
     * First the newest of each pool, which tell this gateway's demands, from another pool on in each report; then the
     * newest of all.
     */
    fun reported(
        receivers: Int,
        sequence: Long,
        now: Instant,
    ): PersistentList<ReportedLimit> {
        val limits = budget.declare(now)
        if (limits.byLife.isEmpty()) return persistentListOf()
        val newestFirst = limits.byLife.entries.sortedByDescending { it.value.word.at }
        val ofEachPool = newestFirst.distinctBy { it.value.pool }.sortedBy { it.value.pool.name }
        val maximum = (ENTRIES_TO_ALL / receivers.coerceAtLeast(1)).coerceIn(LEAST_ENTRIES, MAXIMUM_ENTRIES)
        val first = (sequence * maximum).mod(ofEachPool.size)
        return (ofEachPool.drop(first) + ofEachPool.take(first) + newestFirst)
            .distinctBy { it.key }
            .take(maximum)
            .map { (life, limit) -> reported(life, limit, limits.declared[limit.pool]?.latest ?: 0.0, now) }
            .toPersistentList()
    }

    /** Applies the [reported] limits in a report of [sender] that arrived at [now]. */
    fun receive(
        sender: HostAddress,
        reported: List<ReportedLimit>,
        lives: Map<Int, BackendLife>,
        now: Instant,
    ) {
        if (reported.isEmpty()) return
        val entries = fleet.snapshot().entries
        val backends = reported.associateWith { lives[it.lifeCode]?.let { life -> entries[life.instance] } }
        val words = backends.mapNotNull { (limit, backend) -> backend?.let { it to wordOf(limit, now) } }.toMap()
        val demands = backends.mapNotNull { (limit, backend) -> backend?.let { it.pool to limit.demand } }.toMap()
        budget.reported(sender, words, demands, now)
    }

    private fun reported(
        life: BackendLife,
        limit: ServerLimit,
        demand: Double,
        now: Instant,
    ): ReportedLimit {
        val word =
            when (val word = limit.word) {
                is LimitWord.Named -> ReportedLimitWord.Named(word.perSecond)
                is LimitWord.Ended -> ReportedLimitWord.Ended
            }
        return ReportedLimit(life.code, word, (now - limit.word.at).coerceAtLeast(Duration.ZERO), demand)
    }

    private fun wordOf(
        limit: ReportedLimit,
        now: Instant,
    ): LimitWord {
        val at = now - limit.age.coerceAtLeast(Duration.ZERO)
        return when (val word = limit.word) {
            is ReportedLimitWord.Named -> LimitWord.Named(word.perSecond, at)
            ReportedLimitWord.Ended -> LimitWord.Ended(at)
        }
    }

    private companion object {
        const val MAXIMUM_ENTRIES = 64 // so that a report fits into one datagram
        const val LEAST_ENTRIES = 8
        const val ENTRIES_TO_ALL = 256 // bounds the bytes sent per second to many gateways
    }
}
