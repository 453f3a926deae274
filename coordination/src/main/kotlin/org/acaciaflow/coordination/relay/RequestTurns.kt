package org.acaciaflow.coordination.relay

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.acaciaflow.coordination.port.SocketReads
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import kotlin.time.Clock
import kotlin.time.Instant

/**
 * Starts waiting requests one at a time, in the order of [TurnOrder]; the sockets are read before each start.
 *
 * So a request whose caller has left in the meantime is known as such and is not sent on, and answers in progress are
 * relayed first. While the processor keeps up, a request starts after the next reads. Under overload, for example after
 * a process start, requests that can still be answered in time start before those that are already late.
 */
internal class RequestTurns(
    private val waiting: SharedTable<PersistentList<PendingTurn>>,
    private val elapsedTime: ElapsedTimeEstimator,
    private val socketReads: SocketReads,
    private val scope: CoroutineScope,
    private val clock: Clock,
) {
    /** Suspends until [request] may start. */
    suspend fun await(request: RelayedRequest) {
        val elapsed = elapsedTime.estimate(request.route.name, request.facts.timeLimit)
        val entry = PendingTurn(request, request.dueAt - elapsed, CompletableDeferred())
        val wasEmpty = waiting.transition { Transition(it.add(entry), it.isEmpty()) }
        if (wasEmpty) scope.launch { grantTurns() }
        try {
            entry.granted.await()
        } finally {
            if (!entry.granted.isCompleted) waiting.update { it.remove(entry) }
        }
    }

    /** Starts waiting requests until none is left; the next request that arrives launches this loop again. */
    private suspend fun grantTurns() {
        while (true) {
            socketReads.awaitNext()
            val next = waiting.transition { removeNext(it, clock.now()) } ?: return
            next.granted.complete(Unit)
        }
    }

    private fun removeNext(
        queue: PersistentList<PendingTurn>,
        now: Instant,
    ): Transition<PersistentList<PendingTurn>, PendingTurn?> {
        val next = queue.minWithOrNull(TurnOrder.asOf(now)) ?: return Transition(queue, null)
        return Transition(queue.remove(next), next)
    }
}

/** A request that waits until its turn is [granted]; an answer after [dueAt] counts as late. */
internal class PendingTurn(
    val request: RelayedRequest,
    val dueAt: Instant,
    val granted: CompletableDeferred<Unit>,
)
