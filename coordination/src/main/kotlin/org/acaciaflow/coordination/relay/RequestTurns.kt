package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import kotlin.time.Clock
import kotlin.time.Instant

/**
 * Starts requests one at a time, the most promising first, and lets other work run in between.
 *
 * While the processor keeps up, a turn comes at once. When it does not, as after a start, requests that can still be
 * answered in time go before those that are late already.
 */
internal class RequestTurns(
    private val waiting: SharedTable<PersistentList<WaitingRequest>>,
    private val timeLimits: TimeLimits,
    private val scope: CoroutineScope,
    private val clock: Clock,
) {
    /** Waits until it is the turn of [request]. */
    suspend fun await(request: RelayedRequest) {
        val askedBefore = timeLimits.spent(request.route.name, request.facts.timeLimit)
        val own = WaitingRequest(request, request.dueAt - askedBefore, CompletableDeferred())
        val first = waiting.transition { Transition(it.add(own), it.isEmpty()) }
        if (first) scope.launch { giveTurns() }
        try {
            own.turn.await()
        } finally {
            if (!own.turn.isCompleted) waiting.update { it.remove(own) }
        }
    }

    /** Gives turns until none is waited for; a request that comes then starts the next series. */
    private suspend fun giveTurns() {
        while (true) {
            val next = waiting.transition { taken(it, clock.now()) } ?: return
            next.turn.complete(Unit)
            yield()
        }
    }

    private fun taken(
        queue: PersistentList<WaitingRequest>,
        now: Instant,
    ): Transition<PersistentList<WaitingRequest>, WaitingRequest?> {
        val next = queue.minWithOrNull(TurnOrder.asOf(now)) ?: return Transition(queue, null)
        return Transition(queue.remove(next), next)
    }
}

/** A request that waits for its [turn]; its answer is taken to lose its full worth at [dueAt]. */
internal class WaitingRequest(
    val request: RelayedRequest,
    val dueAt: Instant,
    val turn: CompletableDeferred<Unit>,
)
