package org.acaciaflow.coordination.fleet

import kotlinx.collections.immutable.toPersistentSet
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.LeavingOrigin
import org.acaciaflow.coordination.port.LeavingNotice
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.notice.BackendNotices
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition

/** Applies the notices in backend servers' answers, and decides from them what may still be sent. */
class BackendAvailability(
    private val fleet: SharedTable<Fleet>,
    private val notices: SharedTable<BackendNotices>,
    private val observations: Observations,
) {
    /** Decides whether new work may be sent to [backend] now. */
    fun permissionFor(backend: BackendEntry): SendPermission = SendPermission.of(fleet.snapshot(), backend)

    /** Applies [notice], which is in the head of the answer to [order]. */
    fun noticed(
        order: RunOrder,
        notice: LeavingNotice,
    ) {
        val life = order.backend.life
        when (notice) {
            LeavingNotice.Absent -> Unit
            LeavingNotice.Leaving -> leaving(life, LeavingOrigin.Answer(order.requestId))
            is LeavingNotice.Unreadable -> unreadable(life, order.requestId, notice.text)
        }
    }

    /** Marks [life] as leaving because of [origin]; logged the first time. */
    fun leaving(
        life: BackendLife,
        origin: LeavingOrigin,
    ) {
        if (life in fleet.snapshot().leaving) return
        val added = fleet.transition { Transition(FleetChanges.leaving(it, life), life !in it.leaving) }
        if (added) observations.event(Event.BackendLeaving(life, origin))
    }

    private fun unreadable(
        life: BackendLife,
        requestId: String,
        text: String,
    ) {
        observations.noticeUnreadable()
        if (life in notices.snapshot().unreadableLogged) return
        val registered =
            fleet
                .snapshot()
                .entries.values
                .map { it.life }
                .toSet()
        val added =
            notices.transition { known ->
                val logged = known.unreadableLogged.filter { it in registered }.toPersistentSet()
                Transition(known.copy(unreadableLogged = logged.add(life)), life !in known.unreadableLogged)
            }
        if (added) observations.event(Event.BackendNoticeUnreadable(life, requestId, text))
    }
}
