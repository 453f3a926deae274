package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CompletableDeferred
import org.acaciaflow.state.stream.StreamRecord
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Records that the store has not acknowledged, the oldest first.
 *
 * No write has succeeded since [failingSince]. The call that they wait for was made at [calledAt] or later.
 */
internal data class RecordQueue(
    val pending: PersistentList<PendingRecord>,
    val failingSince: Instant?,
    val calledAt: Instant?,
) {
    fun with(record: PendingRecord): RecordQueue =
        copy(pending = pending.add(record), calledAt = if (pending.isEmpty()) record.addedAt else calledAt)

    /** Removes [records]; with none left there is nothing that could fail. */
    fun without(records: Collection<PendingRecord>): RecordQueue {
        val removed = records.toSet()
        val left = pending.filterNot { it in removed }.toPersistentList()
        return copy(pending = left, failingSince = failingSince.takeIf { left.isNotEmpty() })
    }

    companion object {
        val NONE = RecordQueue(persistentListOf(), failingSince = null, calledAt = null)
    }
}

/** A record that waits since [addedAt] and is of no use after [expiresAfter]; [stored] tells whether the store has it. */
internal class PendingRecord(
    val record: StreamRecord,
    val addedAt: Instant,
    expiresAfter: Duration,
) {
    val expiresAt: Instant = addedAt + expiresAfter
    val stored = CompletableDeferred<Boolean>()
}
