package org.acaciaflow.protocol.engine

import kotlinx.serialization.Serializable
import org.acaciaflow.protocol.plan.EngineStateDocument

/** The HTTP paths at which an engine accepts orders and reports its state. */
object EnginePaths {
    const val ORDER = "/engine/order"
    const val STATE = "/engine/state"
}

/**
 * An order to change to the [desired] state.
 *
 * An engine that checks the [fencing] number rejects orders with a lower number than the highest it has accepted.
 */
@Serializable
data class EngineOrderDocument(
    val desired: EngineStateDocument,
    val fencing: Long,
)

/** The state that an engine reports. [ordersTaken] and [conflictingOrders] are counters for tests. */
@Serializable
data class EngineReportDocument(
    val state: EngineStateDocument,
    val changing: Boolean,
    val fencing: Long,
    val ordersTaken: Int = 0,
    val conflictingOrders: Int = 0,
)
