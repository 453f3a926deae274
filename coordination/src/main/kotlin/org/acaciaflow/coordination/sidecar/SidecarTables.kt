package org.acaciaflow.coordination.sidecar

import org.acaciaflow.state.attempt.AttemptJournal
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.sidecar.SidecarLoad
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.createSharedTable

/** The shared tables of a sidecar, declared in lock order. */
data class SidecarTables(
    val configuration: SharedTable<Configuration>,
    val load: SharedTable<SidecarLoad>,
    val journal: SharedTable<AttemptJournal>,
)

/** Creates the tables of a starting sidecar, which admits no attempts until a backend probe succeeds. */
fun createSidecarTables(
    capacity: Int,
    journalCapacity: Int,
): SidecarTables =
    SidecarTables(
        configuration = createSharedTable(LockOrder.CONFIGURATION, Configuration.EMPTY),
        load = createSharedTable(LockOrder.ENGINE, SidecarLoad.idle(capacity)),
        journal = createSharedTable(LockOrder.ATTEMPT_JOURNAL, AttemptJournal.empty(journalCapacity)),
    )
