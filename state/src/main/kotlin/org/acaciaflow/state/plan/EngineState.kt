package org.acaciaflow.state.plan

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.backend.EngineRole

/** The current or desired role, model, version and adapters of an engine. */
data class EngineState(
    val role: EngineRole,
    val model: String,
    val version: String,
    val adapters: PersistentList<String>,
)
