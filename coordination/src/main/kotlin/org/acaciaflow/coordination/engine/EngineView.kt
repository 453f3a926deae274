package org.acaciaflow.coordination.engine

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.load.EngineRates
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.MeanPrefill
import org.acaciaflow.state.prompt.PromptCache
import org.acaciaflow.state.reliability.ReliabilityRecord
import org.acaciaflow.state.route.EngineProperties

/**
 * State of a pool's engines on which the choice of a path is based; [engines] are those that may be given work.
 *
 * [averagePrefill] is the prefill of an average request of the route, in the unit of [MeanPrefill.tokens]; null while
 * none is known.
 */
data class EngineView(
    val engines: List<BackendEntry>,
    val load: FleetLoad,
    val caches: PersistentMap<BackendLife, PromptCache>,
    val reliability: PersistentMap<BackendLife, ReliabilityRecord>,
    val rates: EngineRates,
    val averagePrefill: Double?,
    val properties: EngineProperties,
    val ownDataCentre: DataCentre,
)
