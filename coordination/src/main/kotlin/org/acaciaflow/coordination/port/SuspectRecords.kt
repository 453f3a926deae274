package org.acaciaflow.coordination.port

import kotlinx.collections.immutable.PersistentMap
import kotlinx.coroutines.flow.Flow
import org.acaciaflow.state.suspect.CrashSuspect
import org.acaciaflow.state.work.RequestDigest

/** Crash suspects in the platform's store, shared by all gateways. */
interface SuspectRecords {
    /** Replaces a suspect by what [change] makes of it, under compare-and-swap; null clears it. */
    suspend fun change(
        digest: RequestDigest,
        change: (CrashSuspect?) -> CrashSuspect?,
    ): StoreResult<CrashSuspect?>

    /** All suspects. */
    suspend fun list(): StoreResult<PersistentMap<RequestDigest, CrashSuspect>>

    /** Suspects as they change. The flow completes when the watch breaks. */
    fun changes(): Flow<SuspectChange>
}

/** The state of one digest; [suspect] is null when it was cleared. */
data class SuspectChange(
    val digest: RequestDigest,
    val suspect: CrashSuspect?,
)
