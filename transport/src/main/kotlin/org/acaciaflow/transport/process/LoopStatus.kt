package org.acaciaflow.transport.process

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.Serializable
import org.acaciaflow.state.loop.LoopState

/** A lasting loop on the status page; [lastFailure] is set until the loop has started again. */
@Serializable
internal data class LoopStatus(
    val name: String,
    val restarts: Int,
    val lastFailure: String?,
)

/** Describes [loops] for the status page, ordered by name. */
internal fun loopStatuses(loops: PersistentMap<String, LoopState>): List<LoopStatus> =
    loops.map { (name, state) -> statusOf(name, state) }.sortedBy { it.name }

/** Returns the names of the loops that have failed and not started again yet. */
internal fun failingLoops(loops: PersistentMap<String, LoopState>): List<String> =
    loops.filterValues { it is LoopState.Restarting }.keys.sorted()

private fun statusOf(
    name: String,
    state: LoopState,
): LoopStatus =
    when (state) {
        is LoopState.Running -> LoopStatus(name, state.restarts, lastFailure = null)
        is LoopState.Restarting -> LoopStatus(name, state.restarts, lastFailure = state.cause)
    }
