package org.acaciaflow.coordination.sidecar

import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.state.attempt.AttemptJournal
import org.acaciaflow.state.attempt.AttemptProgress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.sidecar.SidecarPhase

/** Returns why the sidecar process [self] refuses [order], or null when it admits it. */
fun admissionRefusal(
    self: ProcessIdentity,
    load: SidecarLoad,
    journal: AttemptJournal,
    order: AttemptOrder,
): AttemptRefusal? =
    identityRefusal(self, journal, order)
        ?: phaseRefusal(load.phase)
        ?: capacityRefusal(load, order)

private fun identityRefusal(
    self: ProcessIdentity,
    journal: AttemptJournal,
    order: AttemptOrder,
): AttemptRefusal? =
    when {
        order.sidecar != self -> AttemptRefusal.OTHER_LIFE
        journal.entries[order.attempt] == AttemptProgress.Tombstoned -> AttemptRefusal.TOMBSTONED
        order.attempt in journal.entries -> AttemptRefusal.REPEATED_ATTEMPT
        order.atMostOnce && journal.mayHaveBeenEvicted(order.attempt) -> AttemptRefusal.STALE_ATTEMPT
        else -> null
    }

private fun phaseRefusal(phase: SidecarPhase): AttemptRefusal? =
    when (phase) {
        SidecarPhase.Serving -> null
        SidecarPhase.Leaving -> AttemptRefusal.LEAVING
        SidecarPhase.BackendDown -> AttemptRefusal.BACKEND_DOWN
        SidecarPhase.Changing -> AttemptRefusal.CHANGING
    }

private fun capacityRefusal(
    load: SidecarLoad,
    order: AttemptOrder,
): AttemptRefusal? =
    when {
        order.attempt in load.running -> AttemptRefusal.REPEATED_ATTEMPT
        load.running.size >= load.capacity -> AttemptRefusal.AT_CAPACITY
        order.alone && load.running.isNotEmpty() -> AttemptRefusal.SUSPECT_NOT_ALONE
        load.running.values.any { it.alone } -> AttemptRefusal.AT_CAPACITY
        load.reserved && !order.alone -> AttemptRefusal.AT_CAPACITY
        else -> null
    }
