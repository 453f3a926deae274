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

/** Non-idempotent requests whose outcome nobody knows, for operators to settle. */
class UnresolvedExecutions(
    private val records: ExecutionRecords,
) {
    /** Requests of unknown outcome as of [now], and those that have been running for suspiciously long. */
    suspend fun list(now: Instant): StoreResult<PersistentList<ListedExecution>> =
        when (val listed = records.list()) {
            is StoreResult.Failure -> listed
            is StoreResult.Success -> StoreResult.Success(unresolved(listed.value, now))
        }

    /** Notes what an operator found out; only a request of unknown outcome can be settled. */
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
            is ExecutionRecord.MaybeRunning -> now - record.since > RUNNING_TOO_LONG
            is ExecutionRecord.Answered, is ExecutionRecord.NotExecuted, is ExecutionRecord.SettledByHand -> false
        }

    private companion object {
        val RUNNING_TOO_LONG: Duration = 5.minutes
    }
}

/** Outcome of settling a request by hand. */
sealed interface SettleOutcome {
    data object Settled : SettleOutcome

    /** The request has no record, or its outcome is known. */
    data object NotUnresolved : SettleOutcome

    /** The record changed while it was being settled; look again. */
    data object ChangedMeanwhile : SettleOutcome

    data class StoreFailed(
        val reason: StoreFailure,
    ) : SettleOutcome
}
