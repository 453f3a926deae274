package org.acaciaflow.transport.direct

import io.vertx.core.http.HttpConnection
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
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
    /** Returns the history of [connection] without the request [requestId], which it now carries. */
    fun carry(
        connection: HttpConnection,
        requestId: String,
    ): ConnectionHistory {
        val (history, isNew) =
            table.transition { known ->
                val former = known.histories[connection]
                val history = former ?: newConnectionHistory(known.opened + 1)
                val opened = if (former == null) known.opened + 1 else known.opened
                val histories = known.histories.put(connection, history.carrying(requestId))
                Transition(Connections(opened, histories), history to (former == null))
            }
        if (isNew) connection.closeHandler { forget(connection) }
        return history
    }

    private fun forget(connection: HttpConnection) {
        table.update { it.copy(histories = it.histories.remove(connection)) }
    }

    /** [opened] is the number of connections opened so far. */
    private data class Connections(
        val opened: Long,
        val histories: PersistentMap<HttpConnection, ConnectionHistory>,
    )

    companion object {
        /** Creates the table of a gateway that has opened no connection. */
        fun create(): OpenConnections =
            OpenConnections(createSharedTable(LockOrder.BACKEND_CONNECTIONS, Connections(0, persistentHashMapOf())))
    }
}
