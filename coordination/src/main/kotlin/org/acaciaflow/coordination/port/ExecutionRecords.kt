package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.record.ExecutionRecord

/** Execution records of non-idempotent requests in the platform's store. */
interface ExecutionRecords {
    /** The record of a request; null when it has none. */
    suspend fun read(identity: RequestIdentity): StoreResult<VersionedRecord?>

    /** Replaces the record if it is at revision [expected]. A lost answer is settled by reading back. */
    suspend fun swap(
        identity: RequestIdentity,
        expected: Long,
        record: ExecutionRecord,
    ): StoreResult<RecordSwap>

    /** The records of all requests, up to a stated limit. */
    suspend fun list(): StoreResult<PersistentList<ListedExecution>>
}

/** A record and the request that it is about. */
data class ListedExecution(
    val identity: RequestIdentity,
    val record: ExecutionRecord,
)

/** A record with the store revision that a compare-and-swap must name. */
data class VersionedRecord(
    val record: ExecutionRecord,
    val revision: Long,
)

/** Outcome of a compare-and-swap on a record. */
sealed interface RecordSwap {
    data class Written(
        val revision: Long,
    ) : RecordSwap

    data object Conflict : RecordSwap
}
