package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.refusal.MayHaveRun

/**
 * How far a request has come.
 *
 * [reached] are the backend servers that it was sent to, [excluded] those that it must not be sent to again.
 * [countedSends] are the sends that the retry bounds count; the first [prefillCalls] is not among them if it was taken.
 * [sending] is true while a run is in progress of which nothing is known yet. [mayHaveRun] is set once a backend server
 * may have begun to run it. [begun] is true once the caller has a part of the
 * answer, up to the event [lastEvent] of a stream.
 */
data class RelayProgress(
    val reached: PersistentSet<BackendLife>,
    val excluded: PersistentSet<BackendLife>,
    val countedSends: Int,
    val prefillCalls: Int,
    val sending: Boolean,
    val mayHaveRun: MayHaveRun?,
    val begun: Boolean,
    val lastEvent: String?,
) {
    companion object {
        val NOTHING =
            RelayProgress(
                reached = persistentSetOf(),
                excluded = persistentSetOf(),
                countedSends = 0,
                prefillCalls = 0,
                sending = false,
                mayHaveRun = null,
                begun = false,
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
