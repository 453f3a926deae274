package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentMap
import kotlinx.coroutines.flow.Flow
import org.acaciaflow.state.suspect.CrashSuspect
import org.acaciaflow.state.work.RequestDigest

/** Crash suspects in the platform's store, shared by all gateways. */
interface SuspectRecords {
    /** Replaces a suspect by the result of [change] with compare-and-swap; a null result clears it. */
    suspend fun change(
        digest: RequestDigest,
        change: (CrashSuspect?) -> CrashSuspect?,
    ): StoreResult<CrashSuspect?>

    /** Lists all suspects. */
    suspend fun list(): StoreResult<PersistentMap<RequestDigest, CrashSuspect>>

    /** Emits each suspect that changes. The flow completes when the watch breaks. */
    fun changes(): Flow<SuspectChange>
}

/** The state of one digest; [suspect] is null when it was cleared. */
data class SuspectChange(
    val digest: RequestDigest,
    val suspect: CrashSuspect?,
)
