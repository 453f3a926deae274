package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.refusal.MayHaveRun
import kotlin.time.Instant

/**
 * How far a request has come.
 *
 * [reached] are the backend servers that it was sent to, [excluded] those that it must not be sent to again.
 * [countedSends] are the sends that the retry bounds count; the first [prefillCalls] is not among them if it was taken.
 * [sending] is true while a run is in progress of which nothing is known yet. [mayHaveRun] is set once a backend server
 * may have begun to run it. [begunAt] is when the caller got the first part of the
 * answer; of a stream it has the events up to [lastEvent].
 */
data class RelayProgress(
    val reached: PersistentSet<BackendLife>,
    val excluded: PersistentSet<BackendLife>,
    val countedSends: Int,
    val prefillCalls: Int,
    val sending: Boolean,
    val mayHaveRun: MayHaveRun?,
    val begunAt: Instant?,
    val lastEvent: String?,
) {
    val begun: Boolean
        get() = begunAt != null

    companion object {
        val NOTHING =
            RelayProgress(
                reached = persistentSetOf(),
                excluded = persistentSetOf(),
                countedSends = 0,
                prefillCalls = 0,
                sending = false,
                mayHaveRun = null,
                begunAt = null,
                lastEvent = null,
            )
    }
}

/** Holds the progress of one request while it is served, so that it is known when a time limit ends the work. */
internal class RelayJournal {
    @Volatile
    var progress: RelayProgress = RelayProgress.NOTHING
        private set

    fun note(change: (RelayProgress) -> RelayProgress) {
        progress = change(progress)
    }
}
