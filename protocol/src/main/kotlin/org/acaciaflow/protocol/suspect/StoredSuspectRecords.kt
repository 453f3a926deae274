package org.acaciaflow.protocol.suspect

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.mapNotNull
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.decodeToString
import kotlinx.io.bytestring.encodeToByteString
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.StoredValue
import org.acaciaflow.coordination.port.SuspectChange
import org.acaciaflow.coordination.port.SuspectRecords
import org.acaciaflow.coordination.port.SwapOutcome
import org.acaciaflow.protocol.frame.WireAttempt
import org.acaciaflow.protocol.frame.toIdentity
import org.acaciaflow.protocol.frame.toWire
import org.acaciaflow.protocol.json.decodeForeign
import org.acaciaflow.protocol.store.StoreLayout
import org.acaciaflow.state.suspect.CrashSuspect
import org.acaciaflow.state.work.RequestDigest
import kotlin.time.Instant

/** Crash suspects, stored as JSON documents in the platform's key-value store. */
class StoredSuspectRecords(
    private val store: KeyValueStore,
) : SuspectRecords {
    override suspend fun change(
        digest: RequestDigest,
        change: (CrashSuspect?) -> CrashSuspect?,
    ): StoreResult<CrashSuspect?> {
        var failure: StoreFailure = StoreFailure.TIMED_OUT
        repeat(MAXIMUM_SWAP_ATTEMPTS) {
            val current =
                when (val read = store.read(StoreLayout.suspect(digest))) {
                    is StoreResult.Failure -> return read
                    is StoreResult.Success -> read.value
                }
            val next = change(current?.let { decode(it.value).suspectOrNull })
            val expected = current?.revision ?: KeyValueStore.ABSENT
            when (val swapped = store.swap(StoreLayout.suspect(digest), expected, encode(next))) {
                is StoreResult.Success -> if (swapped.value is SwapOutcome.Swapped) return StoreResult.Success(next)
                is StoreResult.Failure -> failure = swapped.reason
            }
        }
        return StoreResult.Failure(failure)
    }

    override suspend fun list(): StoreResult<PersistentMap<RequestDigest, CrashSuspect>> =
        when (val listed = store.list(StoreLayout.SUSPECTS, MAXIMUM_LISTED)) {
            is StoreResult.Failure -> listed
            is StoreResult.Success -> StoreResult.Success(suspectsOf(listed.value))
        }

    override fun changes(): Flow<SuspectChange> =
        store.watch(StoreLayout.SUSPECTS).mapNotNull { value ->
            when (val document = decode(value.value)) {
                DecodedSuspect.Malformed -> null
                DecodedSuspect.Cleared -> SuspectChange(digestOf(value), null)
                is DecodedSuspect.Suspected -> SuspectChange(digestOf(value), document.suspect)
            }
        }

    private fun suspectsOf(values: List<StoredValue>): PersistentMap<RequestDigest, CrashSuspect> =
        values
            .mapNotNull { value -> decode(value.value).suspectOrNull?.let { digestOf(value) to it } }
            .toMap()
            .toPersistentMap()

    private fun digestOf(value: StoredValue): RequestDigest = RequestDigest(value.key.path.substringAfterLast('/'))

    private fun encode(suspect: CrashSuspect?): ByteString {
        val attempts = suspect?.crashes?.map { it.toWire() }.orEmpty()
        val document = SuspectDocument(attempts, suspect?.lastCrashAt?.toEpochMilliseconds() ?: 0)
        return Json.encodeToString(SuspectDocument.serializer(), document).encodeToByteString()
    }

    private fun decode(value: ByteString): DecodedSuspect =
        try {
            decode(Json.decodeForeign(SuspectDocument.serializer(), value.decodeToString()))
        } catch (_: IllegalArgumentException) {
            DecodedSuspect.Malformed
        }

    private fun decode(document: SuspectDocument): DecodedSuspect {
        if (document.crashes.isEmpty()) return DecodedSuspect.Cleared
        val crashes = document.crashes.mapNotNull { it.toIdentity() }.toPersistentSet()
        if (crashes.isEmpty()) return DecodedSuspect.Malformed
        return DecodedSuspect.Suspected(CrashSuspect(crashes, Instant.fromEpochMilliseconds(document.lastCrashAt)))
    }

    /** The result of decoding the document of a suspect. */
    private sealed interface DecodedSuspect {
        val suspectOrNull: CrashSuspect?
            get() =
                when (this) {
                    Cleared, Malformed -> null
                    is Suspected -> suspect
                }

        data object Malformed : DecodedSuspect

        data object Cleared : DecodedSuspect

        data class Suspected(
            val suspect: CrashSuspect,
        ) : DecodedSuspect
    }

    private companion object {
        const val MAXIMUM_SWAP_ATTEMPTS = 5
        const val MAXIMUM_LISTED = 10_000
    }
}

/**
 * JSON form of a crash suspect.
 *
 * A cleared suspect has no [crashes]. [lastCrashAt] is in milliseconds since the epoch.
 */
@Serializable
internal data class SuspectDocument(
    val crashes: List<WireAttempt>,
    val lastCrashAt: Long,
)
