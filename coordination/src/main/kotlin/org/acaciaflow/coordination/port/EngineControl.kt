package org.acaciaflow.coordination.port

import org.acaciaflow.state.plan.EngineState

/** Reads and changes the state of the sidecar's engine. */
interface EngineControl {
    /** Reads the engine's actual state. */
    suspend fun read(): EngineReading

    /** Orders the engine to change to [desired], with the plan's revision as [fencing] number. */
    suspend fun order(
        desired: EngineState,
        fencing: Long,
    ): OrderOutcome
}

/** Result of reading an engine's state. */
sealed interface EngineReading {
    /** [changing] while the engine executes an order. */
    data class Known(
        val state: EngineState,
        val changing: Boolean,
    ) : EngineReading

    data object Unreachable : EngineReading
}

/** Outcome of an order to an engine. */
enum class OrderOutcome {
    ACCEPTED,

    /** The engine refused the order because it has accepted one with a higher fencing number. */
    FENCED,

    /** The answer was lost; the engine's state must be read before the next order. */
    IN_DOUBT,
}
