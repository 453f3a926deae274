package org.acaciaflow.coordination.port

import org.acaciaflow.state.plan.EngineState

/** The sidecar's way to give orders to its engine. */
interface EngineControl {
    /** Asks the engine for its true state. */
    suspend fun read(): EngineReading

    /** Orders the engine to change, with the plan's revision as fencing number. */
    suspend fun order(
        desired: EngineState,
        fencing: Long,
    ): OrderOutcome
}

/** What an engine tells about itself. */
sealed interface EngineReading {
    /** [changing] while an order is being carried out. */
    data class Known(
        val state: EngineState,
        val changing: Boolean,
    ) : EngineReading

    data object Unreachable : EngineReading
}

/** Outcome of an order. */
enum class OrderOutcome {
    ACCEPTED,

    /** The engine has taken an order with a higher fencing number. */
    FENCED,

    /** The answer was lost; the engine must be asked before anything else is ordered. */
    IN_DOUBT,
}
