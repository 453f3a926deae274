package org.acaciaflow.coordination.fleet

import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.refusal.AttemptRefusal

/** Whether new work may be sent to a backend server. */
sealed interface SendPermission {
    data object Granted : SendPermission

    /** Nothing is sent, for [reason]. */
    data class Denied(
        val reason: AttemptRefusal,
    ) : SendPermission

    companion object {
        /** The reasons for which a gateway itself does not send an attempt that it has planned. */
        val DENIALS = setOf(AttemptRefusal.LEAVING, AttemptRefusal.REPLACED)

        /**
         * Decides whether new work may be sent to [backend], as the last check before it is sent.
         *
         * The server may have been chosen from an earlier state of [fleet].
         */
        fun of(
            fleet: Fleet,
            backend: BackendEntry,
        ): SendPermission =
            when {
                fleet.usable(backend) -> Granted
                backend.life in fleet.rejected -> Denied(AttemptRefusal.REPLACED)
                else -> Denied(AttemptRefusal.LEAVING)
            }
    }
}
