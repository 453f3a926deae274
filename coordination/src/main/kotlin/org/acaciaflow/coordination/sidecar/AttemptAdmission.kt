package org.acaciaflow.coordination.sidecar

import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.state.attempt.AttemptJournal
import org.acaciaflow.state.attempt.AttemptProgress
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.sidecar.RunningExchange
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.table.Transition

/** Admits attempts to a sidecar and settles attempts whose outcome a gateway does not know. */
class AttemptAdmission(
    private val self: ProcessIdentity,
    private val tables: SidecarTables,
) {
    /** Registers the attempt as running and returns null, or returns the reason for refusing it. */
    fun admit(order: AttemptOrder): AttemptRefusal? =
        tables.load.transition { load ->
            tables.journal.transition { journal ->
                val refusal = admissionRefusal(self, load, journal, order)
                if (refusal == null) {
                    Transition(started(journal, order), Transition(running(load, order), null))
                } else {
                    Transition(journal, Transition(reservedFor(load, refusal), refusal))
                }
            }
        }

    /** Removes the attempt from the running ones; the journal records [progress] if the request is non-idempotent. */
    fun finish(
        order: AttemptOrder,
        progress: AttemptProgress,
    ) {
        if (order.atMostOnce) tables.journal.update { it.withProgress(order.attempt, progress) }
        tables.load.update { load ->
            val left = load.running.remove(order.attempt)
            load.copy(running = left, reservedProbes = if (order.alone) 0 else load.reservedProbes)
        }
    }

    /** Returns the outcome of an attempt; one that never started is tombstoned, so that it cannot start later. */
    fun settle(
        attempt: AttemptIdentity,
        sidecar: ProcessIdentity,
    ): SettleAnswer =
        when (sidecar) {
            self -> tables.journal.transition { settled(it, attempt) }
            else -> SettleAnswer.Forgotten
        }

    /** Reserves the engine for a crash suspect that was refused because other requests were running. */
    private fun reservedFor(
        load: SidecarLoad,
        refusal: AttemptRefusal,
    ): SidecarLoad =
        when (refusal) {
            AttemptRefusal.SUSPECT_NOT_ALONE -> load.copy(reservedProbes = RESERVED_PROBES)
            else -> load
        }

    private fun started(
        journal: AttemptJournal,
        order: AttemptOrder,
    ): AttemptJournal = if (order.atMostOnce) journal.withProgress(order.attempt, AttemptProgress.Started) else journal

    private fun running(
        load: SidecarLoad,
        order: AttemptOrder,
    ): SidecarLoad = load.copy(running = load.running.put(order.attempt, RunningExchange(order.digest, order.alone)))

    private fun settled(
        journal: AttemptJournal,
        attempt: AttemptIdentity,
    ): Transition<AttemptJournal, SettleAnswer> =
        when (val progress = journal.entries[attempt]) {
            null -> settledUnknown(journal, attempt)
            AttemptProgress.Started -> Transition(journal, SettleAnswer.StillRunning)
            AttemptProgress.Tombstoned -> Transition(journal, SettleAnswer.NeverStarted)
            is AttemptProgress.Completed -> Transition(journal, SettleAnswer.Completed(progress.answer))
            is AttemptProgress.Broken -> Transition(journal, SettleAnswer.Broken(progress.reason))
        }

    private fun settledUnknown(
        journal: AttemptJournal,
        attempt: AttemptIdentity,
    ): Transition<AttemptJournal, SettleAnswer> =
        when {
            journal.mayHaveBeenEvicted(attempt) -> Transition(journal, SettleAnswer.Forgotten)

            else -> {
                Transition(journal.withProgress(attempt, AttemptProgress.Tombstoned), SettleAnswer.NeverStarted)
            }
        }

    private companion object {
        const val RESERVED_PROBES = 6
    }
}
