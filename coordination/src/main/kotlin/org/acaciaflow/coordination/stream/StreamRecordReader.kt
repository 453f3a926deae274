package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.acaciaflow.coordination.port.RecordedOrigins
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StreamRecords
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.stream.StreamKey
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.table.createSharedTable
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reads records of streams in groups: one read is in flight, and what is asked for meanwhile is in the next one. */
class StreamRecordReader(
    private val records: StreamRecords,
    eras: StoreEraTracker,
    clock: Clock,
) {
    private val pending: SharedTable<PersistentList<PendingRead>> =
        createSharedTable(LockOrder.RECORD_READS, persistentListOf())
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val admittance = EraAdmittance(eras, clock)

    /** Returns a state of the store, as of after this call, with the record of [stream] and the bases of [host] and [pool]. */
    suspend fun read(
        stream: StreamKey,
        host: String,
        pool: PoolName,
    ): StoreResult<RecordedOrigins> {
        val read = PendingRead(stream, host, pool)
        pending.update { it.add(read) }
        wakeUps.trySend(Unit)
        try {
            return withTimeoutOrNull(LONGEST_WAIT) { read.result.await() }
                ?: StoreResult.Failure(StoreFailure.TIMED_OUT)
        } finally {
            pending.update { it.remove(read) }
        }
    }

    /** Reads until cancelled. */
    suspend fun run() {
        while (true) {
            wakeUps.receive()
            while (true) {
                val batch = nextBatch()
                if (batch.isEmpty()) break
                val result = readBatch(batch)
                batch.forEach { it.result.complete(result) }
            }
        }
    }

    /** Removes the first reads, as many as one call can answer; half of its keys are of streams at most. */
    private fun nextBatch(): List<PendingRead> =
        pending.transition { all ->
            val most = all.take(StreamRecords.MAXIMUM_BATCH / 2)
            val count = most.indices.lastOrNull { keysOf(most.take(it + 1)) <= StreamRecords.MAXIMUM_BATCH } ?: -1
            val batch = most.take(count + 1)
            Transition(all.removeAll(batch), batch)
        }

    /** The number of keys that [reads] ask for; many have the same host and pool. */
    private fun keysOf(reads: List<PendingRead>): Int =
        listOf<(PendingRead) -> Any>({ it.stream }, { it.host }, { it.pool }).sumOf { reads.distinctBy(it).size }

    private suspend fun readBatch(batch: List<PendingRead>): StoreResult<RecordedOrigins> {
        val streams = batch.map { it.stream }.toPersistentSet()
        val hosts = batch.map { it.host }.toPersistentSet()
        val pools = batch.map { it.pool }.toPersistentSet()
        return when (val result = records.read(streams, hosts, pools)) {
            is StoreResult.Failure -> result
            is StoreResult.Success ->
                when (val era = admittance.admit(result.value.era)) {
                    null -> StoreResult.Failure(StoreFailure.PAST_ERA)
                    else -> StoreResult.Success(result.value.copy(era = era))
                }
        }
    }

    /** A read that waits for its turn or its answer. */
    private class PendingRead(
        val stream: StreamKey,
        val host: String,
        val pool: PoolName,
    ) {
        val result = CompletableDeferred<StoreResult<RecordedOrigins>>()
    }

    private companion object {
        val LONGEST_WAIT: Duration = 700.milliseconds // a caller waits for it
    }
}
