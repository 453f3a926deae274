package org.acaciaflow.state.notice

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.fleet.BackendLife

/**
 * What this gateway keeps of the notices in backend servers' answers, besides [org.acaciaflow.state.fleet.Fleet].
 *
 * An unreadable notice of a server in [unreadableLogged] is counted but not logged again.
 */
data class BackendNotices(
    val unreadableLogged: PersistentSet<BackendLife>,
) {
    companion object {
        val NONE = BackendNotices(persistentSetOf())
    }
}
