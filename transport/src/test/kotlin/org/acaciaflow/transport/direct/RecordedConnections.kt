package org.acaciaflow.transport.direct

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.acaciaflow.coordination.connection.AnswerOwner
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.relay.Decision
import org.acaciaflow.transport.observation.MeteredObservations
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration

/** Records what is told of connections and the answers on them. */
internal class RecordedConnections(
    private val others: Observations = MeteredObservations(PrometheusMeterRegistry(PrometheusConfig.DEFAULT)),
) : Observations by others {
    val events = CopyOnWriteArrayList<Event>()
    private val decisions = CopyOnWriteArrayList<Decision>()

    val owners = CopyOnWriteArrayList<AnswerOwner>()

    val holds = CopyOnWriteArrayList<Duration>()

    fun clear() {
        holds.clear()
        events.clear()
        owners.clear()
        decisions.clear()
    }

    override fun foreignAnswer(owner: AnswerOwner) {
        owners += owner
    }

    override fun answerHeld(time: Duration) {
        holds += time
    }

    override fun event(event: Event) {
        events += event
    }

    override fun decided(decision: Decision) {
        decisions += decision
    }

    fun disconnects(): List<Decision.Disconnected> = decisions.filterIsInstance<Decision.Disconnected>()

    fun closeReasons(): List<ConnectionCloseReason> = disconnects().map { it.reason }

    fun contradictions(): List<Decision.ContradictedAnswer> = decisions.filterIsInstance<Decision.ContradictedAnswer>()

    fun contradictionEvents(): List<Event> = events.filterIsInstance<Event.BackendAnswerContradicted>()
}
