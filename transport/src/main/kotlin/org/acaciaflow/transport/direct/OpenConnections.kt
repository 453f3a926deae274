package org.acaciaflow.transport.direct

import io.vertx.core.Future
import io.vertx.core.http.HttpConnection
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.acaciaflow.coordination.connection.AnswerHold
import org.acaciaflow.coordination.connection.AnsweredRequest
import org.acaciaflow.coordination.connection.ConnectionCloseReason
import org.acaciaflow.coordination.connection.ConnectionIsolation
import org.acaciaflow.coordination.connection.ConnectionObserver
import org.acaciaflow.coordination.connection.ConnectionReuse
import org.acaciaflow.coordination.connection.HoldLength
import org.acaciaflow.coordination.connection.ReuseDecision
import org.acaciaflow.coordination.connection.SecondAnswerBodies
import org.acaciaflow.coordination.connection.SurplusAnswer
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.connection.ContradictionDelays
import org.acaciaflow.state.connection.SecondAnswers
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.connection.newConnectionHistory
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.table.createSharedTable
import java.io.IOException
import kotlin.time.Clock
import kotlin.time.Duration

/** The open connections to backend servers, what each has carried and why it is closed. */
internal class OpenConnections private constructor(
    private val table: SharedTable<Connections>,
    private val surplus: SharedTable<SurplusAnswers>,
    private val delays: SharedTable<ContradictionDelays>,
    private val observer: ConnectionObserver,
    private val clock: Clock,
) {
    /** The number of open connections that have carried a request. */
    val count: Int
        get() = table.snapshot().records.size

    /** Decides whether [connection] may carry the request of [order]; if so, it counts as sent on it. */
    fun claim(
        connection: HttpConnection,
        order: RunOrder,
    ): ReuseDecision {
        val isIsolated = isIsolated(order.backend.life)
        val decision =
            table.transition { known ->
                val history = known.records[connection]?.history ?: newConnectionHistory(known.opened + 1)
                when (val decision = ConnectionReuse.decide(history, order.requestId, isIsolated)) {
                    is ReuseDecision.Use -> Transition(known.carrying(connection, history, order), decision)
                    is ReuseDecision.Close -> Transition(known, decision)
                }
            }
        val isNew = decision is ReuseDecision.Use && decision.history.carried.isEmpty()
        if (isNew) {
            connection.exceptionHandler { closing(connection, reasonOf(it)) }
            connection.closeHandler { ended(connection) }
        }
        return decision
    }

    /**
     * Notes that [life] has written a surplus answer, so that its next requests get a connection each.
     *
     * Returns false if they did already.
     */
    fun surplusAnswered(life: BackendLife): Boolean {
        val now = clock.now()
        val begun =
            surplus.transition { known ->
                val next = ConnectionIsolation.surplusSeen(known, life, now)
                Transition(next, ConnectionIsolation.begun(known, next, life, now))
            }
        if (begun == null) return false
        updateSecondAnswers(life) { it.copy(isReported = false) }
        observer.isolated(life, begun)
        return true
    }

    /** Returns true while each request to [life] gets a connection of its own. */
    fun isIsolated(life: BackendLife): Boolean = ConnectionIsolation.isIsolated(surplus.snapshot(), life, clock.now())

    /** Notes that the server that had answered [first] has written a second answer with the body [second]. */
    fun secondAnswerSeen(
        first: AnsweredRequest,
        second: Long,
    ) = updateSecondAnswers(first.life) { SecondAnswerBodies.recorded(it, first.body, second) }

    /** Notes that [second] arrived behind [first], from the same server, if it contradicts it. */
    fun contradictionSeen(
        first: AnsweredRequest,
        second: SurplusAnswer,
    ) {
        if (AnswerHold.contradicts(first, second)) {
            val now = clock.now()
            delays.update { HoldLength.recorded(it, first.pool, now - first.at, now) }
        }
        val body = first.body ?: return
        if (!SecondAnswerBodies.isContradiction(first, second)) return
        updateSecondAnswers(first.life) { SecondAnswerBodies.contradicted(it, body) }
    }

    /** Returns for how long an answer of a server of [pool] is held at most; [longest] is the limit by the settings. */
    fun holdLength(
        pool: PoolName,
        longest: Duration,
    ): Duration = HoldLength.of(delays.snapshot(), pool, longest, clock.now())

    /** Returns true if [body] is one that the server [life] was seen to write as its second answer. */
    fun isSecondAnswerBody(
        life: BackendLife,
        body: Long?,
    ): Boolean {
        val known = table.snapshot().secondAnswers[life] ?: return false
        return isRemembered(life) && SecondAnswerBodies.isKnown(known, body)
    }

    /** Notes that an answer of [life] is reported as not believed; returns false if that was so before while it is isolated. */
    fun contradictionReported(life: BackendLife): Boolean {
        val known = table.snapshot().secondAnswers[life] ?: SecondAnswers.NONE
        if (known.isReported) return false
        updateSecondAnswers(life) { it.copy(isReported = true) }
        return true
    }

    private fun reasonOf(failure: Throwable): ConnectionCloseReason =
        when (failure) {
            is IOException -> ConnectionCloseReason.CONNECTION_FAILED
            else -> ConnectionCloseReason.ANSWER_MALFORMED
        }

    private fun isRemembered(life: BackendLife): Boolean =
        ConnectionIsolation.isRemembered(surplus.snapshot(), life, clock.now())

    private fun updateSecondAnswers(
        life: BackendLife,
        change: (SecondAnswers) -> SecondAnswers,
    ) {
        val outdated =
            table
                .snapshot()
                .secondAnswers.keys
                .filterNot(::isRemembered)
        table.update { known ->
            val kept = outdated.fold(known.secondAnswers) { answers, other -> answers.remove(other) }
            known.copy(secondAnswers = kept.put(life, change(kept[life] ?: SecondAnswers.NONE)))
        }
    }

    /** The number of servers that get a connection for each request. */
    fun countIsolated(): Int = ConnectionIsolation.countIsolated(surplus.snapshot(), clock.now())

    /** Closes [connection] for [reason]. */
    fun close(
        connection: HttpConnection,
        reason: ConnectionCloseReason,
    ): Future<Void> {
        closing(connection, reason)
        return connection.close()
    }

    /** Notes that [connection] is about to be closed for [reason]; the first reason counts. */
    fun closing(
        connection: HttpConnection,
        reason: ConnectionCloseReason,
    ) {
        table.update { known ->
            val record = known.records[connection]
            if (record == null || record.closing != null) return@update known
            known.copy(records = known.records.put(connection, record.copy(closing = reason)))
        }
    }

    /** Returns true once this process is about to close [connection]. */
    fun isClosing(connection: HttpConnection): Boolean = table.snapshot().records[connection]?.closing != null

    /** Drops what is known of [connection], which has closed. */
    fun ended(connection: HttpConnection) {
        val record =
            table.transition { known ->
                Transition(known.copy(records = known.records.remove(connection)), known.records[connection])
            } ?: return
        val reason = record.closing ?: ConnectionCloseReason.ENDED
        observer.closed(record.life, record.history, record.lastRequestId, reason, clock.now())
    }

    /** [opened] is the number of connections opened so far; [secondAnswers] has those of servers that are remembered. */
    private data class Connections(
        val opened: Long,
        val records: PersistentMap<HttpConnection, ConnectionRecord>,
        val secondAnswers: PersistentMap<BackendLife, SecondAnswers>,
    ) {
        fun carrying(
            connection: HttpConnection,
            history: ConnectionHistory,
            order: RunOrder,
        ): Connections {
            val record =
                ConnectionRecord(order.backend.life, history.carrying(order.requestId), order.requestId, closing = null)
            return copy(opened = maxOf(opened, history.number), records = records.put(connection, record))
        }
    }

    /** A connection to [life]; [closing] is set once this process is about to close it. */
    private data class ConnectionRecord(
        val life: BackendLife,
        val history: ConnectionHistory,
        val lastRequestId: String,
        val closing: ConnectionCloseReason?,
    )

    companion object {
        /** Creates the table of a gateway that has opened no connection; [surplus] has its servers' surplus answers. */
        fun create(
            surplus: SharedTable<SurplusAnswers>,
            observer: ConnectionObserver,
            clock: Clock,
        ): OpenConnections {
            val table = createSharedTable(LockOrder.BACKEND_CONNECTIONS, NONE)
            val delays = createSharedTable(LockOrder.CONTRADICTION_DELAYS, ContradictionDelays.NONE)
            return OpenConnections(table, surplus, delays, observer, clock)
        }

        private val NONE = Connections(opened = 0, persistentHashMapOf(), persistentHashMapOf())
    }
}
