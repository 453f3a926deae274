package org.acaciaflow.coordination.execution

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.port.ExecutionRecords
import org.acaciaflow.coordination.port.ListedExecution
import org.acaciaflow.coordination.port.RecordSwap
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.record.ExecutionRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

/** Lists non-idempotent requests of unknown outcome and lets operators settle them. */
class UnresolvedExecutions(
    private val records: ExecutionRecords,
) {
    /** Returns the requests of unknown outcome, and those marked as running for longer than [MAXIMUM_RUNNING_TIME]. */
    suspend fun list(now: Instant): StoreResult<PersistentList<ListedExecution>> =
        when (val listed = records.list()) {
            is StoreResult.Failure -> listed
            is StoreResult.Success -> StoreResult.Success(unresolved(listed.value, now))
        }

    /** Records an operator's finding; only a request that [list] would return can be settled. */
    suspend fun settle(
        identity: RequestIdentity,
        executed: Boolean,
        reason: String,
        now: Instant,
    ): SettleOutcome {
        val found =
            when (val read = records.read(identity)) {
                is StoreResult.Failure -> return SettleOutcome.StoreFailed(read.reason)
                is StoreResult.Success -> read.value ?: return SettleOutcome.NotUnresolved
            }
        if (!isUnresolved(found.record, now)) return SettleOutcome.NotUnresolved
        val settled = ExecutionRecord.SettledByHand(executed, reason, now)
        return when (val swapped = records.swap(identity, found.revision, settled)) {
            is StoreResult.Failure -> SettleOutcome.StoreFailed(swapped.reason)
            is StoreResult.Success -> outcomeOf(swapped.value)
        }
    }

    private fun outcomeOf(swap: RecordSwap): SettleOutcome =
        when (swap) {
            is RecordSwap.Written -> SettleOutcome.Settled
            RecordSwap.Conflict -> SettleOutcome.ChangedMeanwhile
        }

    private fun unresolved(
        listed: List<ListedExecution>,
        now: Instant,
    ): PersistentList<ListedExecution> = listed.filter { isUnresolved(it.record, now) }.toPersistentList()

    private fun isUnresolved(
        record: ExecutionRecord,
        now: Instant,
    ): Boolean =
        when (record) {
            is ExecutionRecord.Unknown -> true
            is ExecutionRecord.MaybeRunning -> now - record.since > MAXIMUM_RUNNING_TIME
            is ExecutionRecord.Answered, is ExecutionRecord.NotExecuted, is ExecutionRecord.SettledByHand -> false
        }

    private companion object {
        val MAXIMUM_RUNNING_TIME: Duration = 5.minutes
    }
}

/** Outcome of an operator settling a request. */
sealed interface SettleOutcome {
    data object Settled : SettleOutcome

    /** The request has no record, its outcome is known, or it has not been running long enough. */
    data object NotUnresolved : SettleOutcome

    /** The record changed concurrently, so the request was not settled; list it again before retrying. */
    data object ChangedMeanwhile : SettleOutcome

    data class StoreFailed(
        val reason: StoreFailure,
    ) : SettleOutcome
}
