package org.acaciaflow.transport.direct

import io.vertx.core.http.HttpConnection
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.acaciaflow.coordination.connection.ConnectionReuse
import org.acaciaflow.coordination.connection.ReuseDecision
import org.acaciaflow.state.connection.ConnectionHistory
import org.acaciaflow.state.connection.newConnectionHistory
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.table.createSharedTable

/** The open connections to backend servers, and what each has carried. */
internal class OpenConnections private constructor(
    private val table: SharedTable<Connections>,
) {
    /** The number of open connections that have carried a request. */
    val count: Int
        get() = table.snapshot().histories.size

    /** Decides whether [connection] may carry the request [requestId]; if so, it counts as sent on it. */
    fun claim(
        connection: HttpConnection,
        requestId: String,
    ): ReuseDecision {
        val decision =
            table.transition { known ->
                val history = known.histories[connection] ?: newConnectionHistory(known.opened + 1)
                when (val decision = ConnectionReuse.decide(history, requestId)) {
                    is ReuseDecision.Use -> Transition(known.carrying(connection, history, requestId), decision)
                    is ReuseDecision.Close -> Transition(known, decision)
                }
            }
        val isNew = decision is ReuseDecision.Use && decision.history.carried.isEmpty()
        if (isNew) connection.closeHandler { forget(connection) }
        return decision
    }

    /** Drops the history of [connection], which has closed. */
    fun forget(connection: HttpConnection) {
        table.update { it.copy(histories = it.histories.remove(connection)) }
    }

    /** [opened] is the number of connections opened so far. */
    private data class Connections(
        val opened: Long,
        val histories: PersistentMap<HttpConnection, ConnectionHistory>,
    ) {
        fun carrying(
            connection: HttpConnection,
            history: ConnectionHistory,
            requestId: String,
        ): Connections =
            Connections(
                opened = maxOf(opened, history.number),
                histories = histories.put(connection, history.carrying(requestId)),
            )
    }

    companion object {
        /** Creates the table of a gateway that has opened no connection. */
        fun create(): OpenConnections =
            OpenConnections(createSharedTable(LockOrder.BACKEND_CONNECTIONS, Connections(0, persistentHashMapOf())))
    }
}
