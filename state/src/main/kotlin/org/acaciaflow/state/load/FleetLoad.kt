package org.acaciaflow.state.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Work at the backend servers: [own] as of now, and that of other gateways as they last told it.
 *
 * [suspected] are the servers that another gateway cannot reach or hear, and until when that counts here.
 */
data class FleetLoad(
    val own: PersistentMap<BackendLife, BackendLoad>,
    val remote: PersistentMap<HostAddress, PersistentMap<BackendLife, RemoteLoad>>,
    val suspected: PersistentMap<BackendLife, Instant>,
) {
    /** Own work at [life]. */
    fun ownAt(life: BackendLife): BackendLoad = own[life] ?: BackendLoad.IDLE

    /** Predicted time as of [now] until all known work at [life] has its first result. */
    fun backlogAt(
        life: BackendLife,
        now: Instant,
    ): Duration =
        remote.values.fold(ownAt(life).backlog(now)) { sum, loads ->
            sum + (loads[life]?.backlogLeft(now) ?: Duration.ZERO)
        }

    /** Requests in progress at [life], those of other gateways as last told. */
    fun runningAt(life: BackendLife): Int =
        remote.values.fold(ownAt(life).jobs.size) { sum, loads -> sum + (loads[life]?.running ?: 0) }

    /** Engine memory that known work at [life] may come to hold, in tokens; shared prompt parts count repeatedly. */
    fun tokensAt(life: BackendLife): Long =
        remote.values.fold(ownAt(life).tokens) { sum, loads -> sum + (loads[life]?.tokens ?: 0) }

    companion object {
        val NONE = FleetLoad(persistentMapOf(), persistentMapOf(), persistentMapOf())
    }
}
