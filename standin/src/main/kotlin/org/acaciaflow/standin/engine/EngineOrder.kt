package org.acaciaflow.standin.engine

import kotlinx.serialization.Serializable

/** An order to the engine; [fencing] is the plan revision of whoever gives it. */
@Serializable
data class EngineOrderDocument(
    val role: String,
    val model: String,
    val version: String,
    val adapters: List<String> = emptyList(),
    val fencing: Long,
)

/** What the engine is set to, and whether a change is under way. */
@Serializable
data class EngineStateDocument(
    val role: String,
    val model: String,
    val version: String,
    val adapters: List<String>,
    val fencing: Long,
    val changing: Boolean,
    val ordersTaken: Int,
    val conflictingOrders: Int,
)
