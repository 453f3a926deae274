package org.acaciaflow.coordination.plain

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.reliability.ReliabilityRecord

/** What a gateway in [ownDataCentre] knows of the backend servers of plain services. */
data class PlainView(
    val load: FleetLoad,
    val reliability: PersistentMap<BackendLife, ReliabilityRecord>,
    val surplus: SurplusAnswers,
    val ownDataCentre: DataCentre,
)
