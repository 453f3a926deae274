package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.LeasedWrites
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StreamRecords
import org.acaciaflow.coordination.routing.KnownRouting
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.stream.StreamRecord
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.createSharedTable
import kotlin.concurrent.Volatile
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Writes records of streams to the store, in groups: one write is in flight, and what comes meanwhile is in the next.
 *
 * A record is retried until it is stored or too old to be of use.
 */
class StreamRecordWriter(
    private val records: StreamRecords,
    leases: LeasedWrites,
    eras: StoreEraTracker,
    private val routing: SharedTable<KnownRouting>,
    private val observations: Observations,
    private val clock: Clock,
    private val random: Random,
) {
    private val queue: SharedTable<RecordQueue> = createSharedTable(LockOrder.RECORD_QUEUE, RecordQueue.NONE)
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val admittance = EraAdmittance(eras, clock)
    private val lease = RecordLease(leases, admittance, clock)

    /** The leases lost since a record was stored; only the loop of [run] uses it. */
    @Volatile
    private var lostLeases = 0

    /** Returns false while records wait that the store does not accept, or does not answer to, as of [now]. */
    fun isRecordable(now: Instant): Boolean {
        val waiting = queue.snapshot()
        val calledAt = waiting.calledAt
        if (waiting.pending.isEmpty() || calledAt == null) return true
        return waiting.failingSince == null && now - calledAt < LONGEST_CALL
    }

    /** The number of records that the store has not acknowledged. */
    val waiting: Int
        get() = queue.snapshot().pending.size

    /** Returns true once [record] is stored, false if it expired. If the caller is cancelled, it is stored nevertheless. */
    suspend fun write(record: StreamRecord): Boolean = enqueue(record).stored.await()

    /** Has [records] stored in the background. */
    fun rewrite(records: Collection<StreamRecord>) = records.forEach { enqueue(it) }

    /** Writes records until cancelled. */
    suspend fun run() {
        while (true) {
            while (queue.snapshot().pending.isNotEmpty()) writeNext()
            wakeUps.receive()
        }
    }

    private fun enqueue(record: StreamRecord): PendingRecord {
        val pending = PendingRecord(record, addedAt = clock.now(), expiresAfter = lifetime())
        queue.update { it.with(pending) }
        wakeUps.trySend(Unit)
        return pending
    }

    private suspend fun writeNext() {
        dropExpired()
        val batch = queue.snapshot().pending.take(StreamRecords.MAXIMUM_BATCH)
        if (batch.isEmpty()) return
        when (val result = writeOnce(batch)) {
            is BatchResult.Written -> stored(batch)
            is BatchResult.LeaseLost -> leaseLost(batch.size)
            is BatchResult.Failed -> failed(result.reason)
        }
    }

    private suspend fun writeOnce(batch: List<PendingRecord>): BatchResult {
        val granted =
            when (val result = lease.validFor(lifetime())) {
                is StoreResult.Failure -> return BatchResult.Failed(result.reason)
                is StoreResult.Success -> result.value
            }
        queue.update { it.copy(calledAt = clock.now()) }
        return when (val result = records.write(batch.map { it.record }.toPersistentList(), granted)) {
            is StoreResult.Failure -> {
                BatchResult.Failed(result.reason)
            }

            is StoreResult.Success -> {
                val era = admittance.admit(result.value.era)
                when {
                    era == null -> BatchResult.Failed(StoreFailure.PAST_ERA)
                    era == granted.era && result.value.written -> BatchResult.Written
                    else -> BatchResult.LeaseLost.also { lease.drop() }
                }
            }
        }
    }

    private fun stored(batch: List<PendingRecord>) {
        lostLeases = 0
        val recovered = queue.snapshot().failingSince != null
        queue.update { it.copy(failingSince = null, calledAt = clock.now()).without(batch) }
        batch.forEach { it.stored.complete(true) }
        observations.recordsHandled(StreamRecordOutcome.WRITTEN, batch.size)
        if (recovered) observations.event(Event.StreamRecordsAccepted)
    }

    /** The next lease may be lost as well, for example while the store returns again and again. */
    private suspend fun leaseLost(records: Int) {
        observations.recordsHandled(StreamRecordOutcome.LEASE_LOST, records)
        if (lostLeases > 0) delay(RETRY_PAUSE + RETRY_JITTER * random.nextDouble())
        lostLeases += 1
    }

    private suspend fun failed(reason: StoreFailure) {
        observations.storeFailed(reason)
        if (queue.snapshot().failingSince == null) observations.event(Event.StreamRecordsRefused(reason, waiting))
        val now = clock.now()
        queue.update { it.copy(failingSince = it.failingSince ?: now) }
        delay(RETRY_PAUSE + RETRY_JITTER * random.nextDouble())
    }

    private fun dropExpired() {
        val now = clock.now()
        val expired = queue.snapshot().pending.filter { it.expiresAt <= now }
        if (expired.isEmpty()) return
        queue.update { it.without(expired) }
        expired.forEach { it.stored.complete(false) }
        observations.recordsHandled(StreamRecordOutcome.EXPIRED, expired.size)
    }

    private fun lifetime(): Duration = StreamLifetime.of(routing.snapshot().configuration)

    /** The result of one write. */
    private sealed interface BatchResult {
        data object Written : BatchResult

        /** The lease has expired, or is of another era; nothing that counts was written. */
        data object LeaseLost : BatchResult

        data class Failed(
            val reason: StoreFailure,
        ) : BatchResult
    }

    private companion object {
        /** The store answers in some milliseconds, and in some hundred when it is slow. */
        val LONGEST_CALL: Duration = 500.milliseconds
        val RETRY_PAUSE: Duration = 100.milliseconds
        val RETRY_JITTER: Duration = 100.milliseconds
    }
}
