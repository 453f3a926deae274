package org.acaciaflow.coordination.fleet

import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.notice.BackendNotices
import org.acaciaflow.state.refusal.AttemptRefusal
import kotlin.time.Instant

/** Whether a request may be sent to a backend server. */
sealed interface SendPermission {
    data object Granted : SendPermission

    /** The request may be sent as the one that tries the server after its rest. */
    data object GrantedAsTrial : SendPermission

    /** Nothing is sent, for [reason]. */
    data class Denied(
        val reason: AttemptRefusal,
    ) : SendPermission

    companion object {
        /** The reasons for which a gateway itself does not send an attempt that it has planned. */
        val DENIALS =
            setOf(
                AttemptRefusal.LEAVING,
                AttemptRefusal.REPLACED,
                AttemptRefusal.RESTING,
                AttemptRefusal.LIMITED,
                AttemptRefusal.OVERDUE,
            )

        /**
         * Decides whether the request [requestId] may be sent to [backend] at [now].
         *
         * Asked when a server is chosen and once more before it is sent to: the server may have been chosen from an
         * earlier state of [fleet] and [notices].
         */
        fun of(
            fleet: Fleet,
            notices: BackendNotices,
            backend: BackendEntry,
            requestId: String,
            now: Instant,
        ): SendPermission =
            when {
                backend.life in fleet.rejected -> Denied(AttemptRefusal.REPLACED)
                !fleet.usable(backend) -> Denied(AttemptRefusal.LEAVING)
                else -> ofRest(RestPolicy.standing(notices, backend.life, requestId, now))
            }

        private fun ofRest(standing: RestStanding): SendPermission =
            when (standing) {
                RestStanding.Open -> Granted
                RestStanding.MayTry -> GrantedAsTrial
                is RestStanding.Resting -> Denied(AttemptRefusal.RESTING)
            }
    }
}
