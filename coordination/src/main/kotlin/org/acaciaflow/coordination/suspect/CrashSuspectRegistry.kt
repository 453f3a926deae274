package org.acaciaflow.coordination.suspect

import kotlinx.coroutines.delay
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.SuspectChange
import org.acaciaflow.coordination.port.SuspectRecords
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.suspect.CrashSuspects
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.work.RequestDigest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Synchronises the crash suspects of a gateway with the store, and records the crashes that this gateway observes. */
class CrashSuspectRegistry(
    private val records: SuspectRecords,
    private val table: SharedTable<CrashSuspects>,
    private val observations: Observations,
) {
    /** Starts loops of [supervisor] that watch the store, and poll it in case the watch misses a change. */
    fun start(supervisor: LoopSupervisor) {
        supervisor.startLoop("suspect-watch") { watch() }
        supervisor.startLoop("suspect-poll") { poll() }
    }

    /** Returns how a request with this digest may run as of [now]. */
    fun verdict(
        digest: RequestDigest,
        now: Instant,
    ): SuspectVerdict = SuspectPolicy.verdict(table.snapshot().suspects[digest], now)

    /**
     * Records that an engine crashed during [attempt] and returns how the request may run from now on.
     *
     * The crash is also written to the store, for the other gateways; the call returns once that write has succeeded
     * or failed.
     */
    suspend fun recordCrash(
        digest: RequestDigest,
        attempt: AttemptIdentity,
        now: Instant,
    ): SuspectVerdict {
        observations.event(Event.CrashSuspected(digest))
        val local =
            table.update { known ->
                val suspect = SuspectPolicy.withCrash(known.suspects[digest], attempt, now)
                CrashSuspects(known.suspects.put(digest, suspect))
            }
        val stored = records.change(digest) { SuspectPolicy.withCrash(it, attempt, now) }
        when (stored) {
            is StoreResult.Success -> apply(SuspectChange(digest, stored.value))
            is StoreResult.Failure -> observations.storeFailed(stored.reason)
        }
        val verdict = SuspectPolicy.verdict(table.snapshot().suspects[digest] ?: local.suspects[digest], now)
        if (verdict == SuspectVerdict.QUARANTINED) observations.event(Event.CrashQuarantined(digest))
        return verdict
    }

    /** Clears the suspicion of a request that ran to completion. */
    suspend fun clear(digest: RequestDigest) {
        if (digest !in table.snapshot().suspects) return
        table.update { CrashSuspects(it.suspects.remove(digest)) }
        val cleared = records.change(digest) { null }
        if (cleared is StoreResult.Failure) observations.storeFailed(cleared.reason)
    }

    private suspend fun watch() {
        while (true) {
            reload()
            records.changes().collect(::apply)
            delay(WATCH_RETRY_DELAY)
        }
    }

    private suspend fun poll() {
        while (true) {
            delay(POLL_INTERVAL)
            reload()
        }
    }

    private suspend fun reload() {
        when (val listed = records.list()) {
            is StoreResult.Success -> table.update { CrashSuspects(it.suspects.putAll(listed.value)) }
            is StoreResult.Failure -> observations.storeFailed(listed.reason)
        }
    }

    private fun apply(change: SuspectChange) {
        val suspect = change.suspect
        table.update { known ->
            when (suspect) {
                null -> CrashSuspects(known.suspects.remove(change.digest))
                else -> CrashSuspects(known.suspects.put(change.digest, suspect))
            }
        }
    }

    private companion object {
        val POLL_INTERVAL: Duration = 10.seconds
        val WATCH_RETRY_DELAY: Duration = 1.seconds
    }
}
