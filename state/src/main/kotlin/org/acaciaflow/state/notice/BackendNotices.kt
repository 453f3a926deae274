package org.acaciaflow.state.notice

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.fleet.BackendLife

/**
 * What this gateway keeps of the notices in backend servers' answers, besides [org.acaciaflow.state.fleet.Fleet].
 *
 * [rests] are the servers that want no requests for a time. An unreadable notice of a server in [unreadableLogged] is
 * counted but not logged again.
 */
data class BackendNotices(
    val rests: PersistentMap<BackendLife, BackendRest>,
    val unreadableLogged: PersistentSet<BackendLife>,
) {
    companion object {
        val NONE = BackendNotices(persistentMapOf(), persistentSetOf())
    }
}
