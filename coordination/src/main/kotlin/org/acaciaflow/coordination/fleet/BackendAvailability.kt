package org.acaciaflow.coordination.fleet

import kotlinx.collections.immutable.toPersistentSet
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.NoticeOrigin
import org.acaciaflow.coordination.limit.LimitBudget
import org.acaciaflow.coordination.port.LeavingNotice
import org.acaciaflow.coordination.port.LimitNotice
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.RestNotice
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.notice.BackendNotices
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Instant

/** Applies the notices in backend servers' answers, and decides from them what may still be sent. */
class BackendAvailability(
    private val fleet: SharedTable<Fleet>,
    private val notices: SharedTable<BackendNotices>,
    private val budget: LimitBudget,
    private val observations: Observations,
    private val clock: Clock,
    private val random: Random,
) {
    /**
     * Decides as [permissionFor], before a connection is opened for [order], and takes a token of the server's limit.
     *
     * Called once for each request that is sent. The token is not given back if the request is not sent after all.
     */
    fun claim(order: RunOrder): SendPermission {
        val life = order.backend.life
        if (!budget.mayClaim(life, order.requestId, order.urgency, clock.now())) return LIMITED
        val permission = permissionFor(order)
        return when (permission) {
            is SendPermission.Denied -> {
                permission
            }

            SendPermission.Granted, SendPermission.GrantedAsTrial -> {
                if (budget.claim(life, order.requestId, order.urgency, clock.now())) permission else LIMITED
            }
        }
    }

    /**
     * Decides whether [order] may be sent now; a request that tries a server after its rest holds off all others.
     *
     * Asked again once a connection is there: its deadline may have passed while the request waited for one.
     */
    fun permissionFor(order: RunOrder): SendPermission {
        val now = clock.now()
        if (now >= order.deadline) return SendPermission.Denied(AttemptRefusal.OVERDUE)
        val life = order.backend.life
        val current = fleet.snapshot()
        val permission = SendPermission.of(current, notices.snapshot(), order.backend, order.requestId, now)
        if (permission != SendPermission.GrantedAsTrial) return permission
        return notices.transition { known ->
            val latest = SendPermission.of(current, known, order.backend, order.requestId, now)
            when (latest) {
                SendPermission.GrantedAsTrial -> {
                    Transition(RestPolicy.tried(known, life, order.requestId, now), latest)
                }

                SendPermission.Granted, is SendPermission.Denied -> {
                    Transition(known, latest)
                }
            }
        }
    }

    /** Applies [notice], which is in the head of the answer to [order]. */
    fun noticed(
        order: RunOrder,
        notice: LeavingNotice,
    ) {
        val life = order.backend.life
        when (notice) {
            LeavingNotice.Absent -> Unit
            LeavingNotice.Leaving -> markLeaving(fleet, observations, life, NoticeOrigin.Answer(order.requestId))
            is LeavingNotice.Unreadable -> unreadable(life, order.requestId, notice.text)
        }
    }

    /** Applies [notice], which is in the head of the answer to [order]; [refused] if the answer is a refusal. */
    fun noticed(
        order: RunOrder,
        notice: RestNotice,
        refused: Boolean,
    ) {
        val life = order.backend.life
        when (notice) {
            RestNotice.Absent -> answered(life, order.requestId, refused)
            is RestNotice.Resting -> resting(life, order.requestId, notice.duration)
            is RestNotice.Unreadable -> unreadable(life, order.requestId, notice.text)
        }
    }

    /** Applies [notice], which is in the head that arrived at [now] of the answer to [order], sent at [sentAt]. */
    fun noticed(
        order: RunOrder,
        notice: LimitNotice,
        sentAt: Instant,
        now: Instant,
    ) {
        when (notice) {
            LimitNotice.Absent -> budget.unnamed(order.backend, order.requestId, sentAt, now)
            is LimitNotice.Named -> budget.named(order.backend, order.requestId, notice.perSecond, now)
            is LimitNotice.Unreadable -> unreadable(order.backend.life, order.requestId, notice.text)
        }
    }

    private fun answered(
        life: BackendLife,
        requestId: String,
        refused: Boolean,
    ) {
        if (life !in notices.snapshot().rests) return
        notices.update { RestPolicy.answered(it, life, requestId, refused) }
    }

    private fun resting(
        life: BackendLife,
        requestId: String,
        duration: Duration,
    ) {
        val now = clock.now()
        val begun =
            notices.transition { known ->
                val wasResting = (known.rests[life]?.until ?: Instant.DISTANT_PAST) > now
                Transition(RestPolicy.rested(known, life, duration, now, random), !wasResting)
            }
        if (begun) observations.event(Event.BackendResting(life, requestId, duration))
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

    private companion object {
        val LIMITED = SendPermission.Denied(AttemptRefusal.LIMITED)
    }
}

/** Marks [life] in [fleet] as leaving because of [origin]; logged the first time. */
internal fun markLeaving(
    fleet: SharedTable<Fleet>,
    observations: Observations,
    life: BackendLife,
    origin: NoticeOrigin,
) {
    if (life in fleet.snapshot().leaving) return
    val added = fleet.transition { Transition(FleetChanges.leaving(it, life), life !in it.leaving) }
    if (added) observations.event(Event.BackendLeaving(life, origin))
}
