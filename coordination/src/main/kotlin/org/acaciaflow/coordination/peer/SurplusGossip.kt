package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.connection.ConnectionIsolation
import org.acaciaflow.coordination.connection.SecondAnswerForms
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.IsolationOrigin
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.state.connection.AnswerForms
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.peer.PeerReport
import org.acaciaflow.state.peer.ReportedSurplus
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import kotlin.time.Instant

/** Selects what a report says of surplus answers, and applies what the reports of peers say. */
internal class SurplusGossip(
    private val surplus: SharedTable<SurplusAnswers>,
    private val forms: SharedTable<AnswerForms>,
    private val observations: Observations,
) {
    /**
     * Returns the newest surplus answers of [registered] servers to this gateway that isolate them at [now].
     *
     * Those that other gateways reported are left out: each would be told with the delay of the report added to its time,
     * and would be renewed as often as it is passed on.
     */
    fun reported(
        registered: Set<BackendLife>,
        now: Instant,
    ): PersistentList<ReportedSurplus> {
        val known = forms.snapshot()
        return ConnectionIsolation
            .own(surplus.snapshot(), now)
            .filterKeys { it in registered }
            .entries
            .sortedBy { (_, own) -> own.age }
            .take(MAXIMUM_ENTRIES)
            .map { (life, own) ->
                val told = SecondAnswerForms.own(known, life, now).toPersistentList()
                ReportedSurplus(life.code, own.age, own.isolationTime, told)
            }.toPersistentList()
    }

    /** Applies a report that arrived at [now]; [lives] are the registered servers by their codes. */
    fun receive(
        report: PeerReport,
        lives: Map<Int, BackendLife>,
        now: Instant,
    ) {
        for (entry in report.surplus) {
            val life = lives[entry.lifeCode] ?: continue
            val seenAt = now - entry.age
            if (entry.forms.isNotEmpty()) {
                forms.update { SecondAnswerForms.reported(it, life, entry.forms, seenAt, now) }
            }
            val begun =
                surplus.transition { known ->
                    val next = ConnectionIsolation.surplusReported(known, life, seenAt, entry.isolationTime, now)
                    Transition(next, ConnectionIsolation.begun(known, next, life, now))
                } ?: continue
            observations.event(Event.BackendIsolated(life, begun, IsolationOrigin.Report(report.sender)))
        }
    }

    private companion object {
        const val MAXIMUM_ENTRIES = 64 // so that a report fits into one datagram
    }
}
