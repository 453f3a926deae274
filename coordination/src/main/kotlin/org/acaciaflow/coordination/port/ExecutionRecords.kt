package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.record.ExecutionRecord

/** Execution records of non-idempotent requests in the platform's store. */
interface ExecutionRecords {
    /** Reads the record of a request; null when it has none. */
    suspend fun read(identity: RequestIdentity): StoreResult<VersionedRecord?>

    /** Replaces the record if it is at revision [expected]. If the store's answer is lost, reads the record back. */
    suspend fun swap(
        identity: RequestIdentity,
        expected: Long,
        record: ExecutionRecord,
    ): StoreResult<RecordSwap>

    /** Lists the records of all requests, up to a limit that the implementation sets. */
    suspend fun list(): StoreResult<PersistentList<ListedExecution>>
}

/** A record and the identity of its request. */
data class ListedExecution(
    val identity: RequestIdentity,
    val record: ExecutionRecord,
)

/** A record with the store revision that a compare-and-swap must expect. */
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
