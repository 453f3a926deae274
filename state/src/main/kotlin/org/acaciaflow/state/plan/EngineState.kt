package org.acaciaflow.state.plan

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.backend.EngineRole

/** What an engine is set to, or is to be set to. */
data class EngineState(
    val role: EngineRole,
    val model: String,
    val version: String,
    val adapters: PersistentList<String>,
)
