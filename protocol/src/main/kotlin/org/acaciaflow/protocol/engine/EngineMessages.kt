package org.acaciaflow.protocol.engine

import kotlinx.serialization.Serializable
import org.acaciaflow.protocol.plan.EngineStateDocument

/** The paths at which an engine takes orders and tells its state. */
object EnginePaths {
    const val ORDER = "/engine/order"
    const val STATE = "/engine/state"
}

/** An order; an engine that checks [fencing] refuses numbers below the highest it has taken. */
@Serializable
data class EngineOrderDocument(
    val desired: EngineStateDocument,
    val fencing: Long,
)

/** What an engine tells about itself; the counts serve tests. */
@Serializable
data class EngineReportDocument(
    val state: EngineStateDocument,
    val changing: Boolean,
    val fencing: Long,
    val ordersTaken: Int = 0,
    val conflictingOrders: Int = 0,
)
