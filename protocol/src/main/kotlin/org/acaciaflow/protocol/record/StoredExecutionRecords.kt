package org.acaciaflow.protocol.record

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.port.ExecutionRecords
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.ListedExecution
import org.acaciaflow.coordination.port.RecordSwap
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.coordination.port.SwapOutcome
import org.acaciaflow.coordination.port.VersionedRecord
import org.acaciaflow.protocol.json.decodeForeign
import org.acaciaflow.protocol.store.StoreLayout
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.record.ExecutionRecord

/** Execution records, stored as JSON documents in the platform's key-value store. */
class StoredExecutionRecords(
    private val store: KeyValueStore,
) : ExecutionRecords {
    private val json = Json { explicitNulls = false }

    override suspend fun read(identity: RequestIdentity): StoreResult<VersionedRecord?> =
        when (val read = store.read(StoreLayout.execution(identity))) {
            is StoreResult.Failure -> read
            is StoreResult.Success -> versionedRecord(read.value)
        }

    override suspend fun swap(
        identity: RequestIdentity,
        expected: Long,
        record: ExecutionRecord,
    ): StoreResult<RecordSwap> {
        val key = StoreLayout.execution(identity)
        val value = encode(identity, record)
        return when (val swapped = store.swap(key, expected, value)) {
            is StoreResult.Success -> StoreResult.Success(swapOf(swapped.value, value))
            is StoreResult.Failure -> resolveWrite(key, value, swapped)
        }
    }

    override suspend fun list(): StoreResult<PersistentList<ListedExecution>> =
        when (val listed = store.list(StoreLayout.EXECUTIONS, MAXIMUM_LISTED)) {
            is StoreResult.Failure -> listed
            is StoreResult.Success -> StoreResult.Success(listed.value.mapNotNull(::listedExecution).toPersistentList())
        }

    private fun listedExecution(value: StoredValue): ListedExecution? {
        val parsed = parse(value.value) ?: return null
        val identity = RequestIdentity(DeploymentName(parsed.document.deployment), parsed.document.identityKey)
        return ListedExecution(identity, parsed.record)
    }

    /** Resolves a write whose answer was lost: it took effect if the stored value equals the written one. */
    private suspend fun resolveWrite(
        key: StoreKey,
        value: ByteString,
        failure: StoreResult.Failure,
    ): StoreResult<RecordSwap> {
        if (!failure.reason.mayHaveTakenEffect) return failure
        return when (val read = store.read(key)) {
            is StoreResult.Failure -> failure
            is StoreResult.Success -> resolveFrom(read.value, value, failure)
        }
    }

    private fun resolveFrom(
        found: StoredValue?,
        value: ByteString,
        failure: StoreResult.Failure,
    ): StoreResult<RecordSwap> =
        when (found?.value) {
            value -> StoreResult.Success(RecordSwap.Written(found.revision))
            else -> failure
        }

    private fun swapOf(
        outcome: SwapOutcome,
        value: ByteString,
    ): RecordSwap =
        when (outcome) {
            is SwapOutcome.Swapped -> RecordSwap.Written(outcome.revision)
            is SwapOutcome.Conflict -> conflictOf(outcome.current, value)
        }

    /** A retried write can conflict with its own first attempt, which stored the same value; that counts as written. */
    private fun conflictOf(
        current: StoredValue?,
        value: ByteString,
    ): RecordSwap =
        when (current?.value) {
            value -> RecordSwap.Written(current.revision)
            else -> RecordSwap.Conflict
        }

    private fun encode(
        identity: RequestIdentity,
        record: ExecutionRecord,
    ): ByteString {
        val document = ExecutionRecordDocument(identity.deployment.name, identity.key, record.toDocument())
        return json.encodeToString(ExecutionRecordDocument.serializer(), document).encodeToByteString()
    }

    private fun versionedRecord(found: StoredValue?): StoreResult<VersionedRecord?> {
        if (found == null) return StoreResult.Success(null)
        val record = decode(found.value) ?: return StoreResult.Failure(StoreFailure.MALFORMED_ANSWER)
        return StoreResult.Success(VersionedRecord(record, found.revision))
    }

    private fun decode(value: ByteString): ExecutionRecord? = parse(value)?.record

    /** Parses a record; null when its JSON, an identity, a reason or the Base64 text of its answer is malformed. */
    private fun parse(value: ByteString): ParsedRecord? =
        try {
            val document = json.decodeForeign(ExecutionRecordDocument.serializer(), value.decodeToString())
            document.state.toRecord()?.let { ParsedRecord(document, it) }
        } catch (_: IllegalArgumentException) {
            null
        }

    private data class ParsedRecord(
        val document: ExecutionRecordDocument,
        val record: ExecutionRecord,
    )

    private companion object {
        const val MAXIMUM_LISTED = 100_000
    }
}
