package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.peer.ReportedRead
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition

/** Prompts sent to engines since the last report to the peers; the oldest are dropped when there are too many. */
class RecentReads(
    private val table: SharedTable<PersistentList<ReportedRead>>,
) {
    fun add(
        life: BackendLife,
        parts: List<PromptPart>,
    ) {
        val read = ReportedRead(life.code, parts.take(MAXIMUM_PARTS).toPersistentList())
        table.update { reads -> (if (reads.size >= MAXIMUM_READS) reads.removeAt(0) else reads).add(read) }
    }

    /** Removes and returns the prompts added since the last call. */
    fun drain(): PersistentList<ReportedRead> = table.transition { Transition(persistentListOf(), it) }

    private companion object {
        const val MAXIMUM_READS = 64 // so that a report fits into one datagram
        const val MAXIMUM_PARTS = 8
    }
}
