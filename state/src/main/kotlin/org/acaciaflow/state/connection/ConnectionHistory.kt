package org.acaciaflow.state.connection

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.acaciaflow.state.bytes.fingerprintOf

/**
 * What a connection to a backend server has carried.
 *
 * [number] tells the connections of one process apart in its log. [carried] has the fingerprint of the id of each request
 * that was sent on it.
 */
data class ConnectionHistory(
    val number: Long,
    val carried: PersistentSet<Long>,
) {
    /** Returns true if a request with the id [requestId] was sent on this connection. */
    fun hasCarried(requestId: String): Boolean = fingerprintOf(requestId) in carried

    /** Adds a request with the id [requestId]. */
    fun carrying(requestId: String): ConnectionHistory = copy(carried = carried.add(fingerprintOf(requestId)))
}

/** Creates the history of a connection that has carried nothing. */
fun newConnectionHistory(number: Long): ConnectionHistory = ConnectionHistory(number, persistentHashSetOf())
