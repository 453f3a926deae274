package org.acaciaflow.coordination.dispatch

import org.acaciaflow.coordination.queue.WaitingQueue
import org.acaciaflow.coordination.queue.candidates
import org.acaciaflow.coordination.queue.charged
import org.acaciaflow.coordination.selection.select
import org.acaciaflow.state.backend.Availability
import org.acaciaflow.state.backend.BackendServer
import org.acaciaflow.state.backend.BackendServers
import org.acaciaflow.state.identity.AttemptIdentityFactory
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.waiting.WaitingRequest
import org.acaciaflow.state.waiting.WaitingRequests
import kotlin.random.Random
import kotlin.time.Instant

/** Pairs the next waiting request with a backend server that has room for it. */
class Dispatcher(
    private val waiting: SharedTable<WaitingRequests>,
    private val servers: SharedTable<BackendServers>,
    private val attempts: AttemptIdentityFactory,
    private val ownDataCentre: DataCentre,
    private val policy: DispatchPolicy,
    private val random: Random,
) {
    /** Takes the next pair as of [now]; null when nothing waits or no server has room. */
    fun next(now: Instant): Assignment? =
        waiting.transition { queue ->
            servers.transition { known ->
                val choice = choose(queue, known, now)
                if (choice == null) {
                    Transition(known, Transition(queue, null))
                } else {
                    assign(queue, known, choice)
                }
            }
        }

    /** Counts the attempt of [assignment] as outstanding no more. */
    fun release(assignment: Assignment) {
        servers.update { it.released(assignment.server, assignment.attempt) }
    }

    private fun assign(
        queue: WaitingRequests,
        known: BackendServers,
        choice: Choice,
    ): Transition<BackendServers, Transition<WaitingRequests, Assignment?>> {
        val assignment = Assignment(choice.request, attempts.next(), choice.server.process)
        val profile = choice.request.profile
        val assigned = known.assigned(assignment.server, assignment.attempt, profile.estimate)
        val chargedPool = charged(policy.queue, queue.pool(profile.pool), choice.request)
        val shorter = WaitingQueue.remove(queue.withPool(profile.pool, chargedPool), choice.request)
        return Transition(assigned, Transition(shorter, assignment))
    }

    private fun choose(
        queue: WaitingRequests,
        known: BackendServers,
        now: Instant,
    ): Choice? {
        for ((pool, pending) in queue.pools) {
            if (pending.length == 0) continue
            val open = withRoom(known, pool)
            if (open.isEmpty()) continue
            val inTime = candidates(policy.queue, pending).filter { it.profile.deadline > now }
            for (request in inTime) {
                val server = serverFor(request, open) ?: continue
                return Choice(request, server)
            }
        }
        return null
    }

    private fun serverFor(
        request: WaitingRequest,
        open: List<BackendServer>,
    ): BackendServer? {
        val untried = open.filter { it.address !in request.excluded }
        val usable = untried.ifEmpty { open }
        val local = usable.filter { it.dataCentre == ownDataCentre }
        return select(policy.selection, local.ifEmpty { usable }, request.profile, random)
    }

    private fun withRoom(
        known: BackendServers,
        pool: PoolName,
    ): List<BackendServer> =
        known.servers.values.filter {
            it.pool == pool &&
                it.availability == Availability.Serving &&
                it.predictedRunning < it.load.capacity
        }

    private data class Choice(
        val request: WaitingRequest,
        val server: BackendServer,
    )
}
