package org.acaciaflow.coordination.dispatch

import org.acaciaflow.coordination.queue.WaitingQueue
import org.acaciaflow.coordination.queue.candidates
import org.acaciaflow.coordination.queue.charged
import org.acaciaflow.coordination.selection.select
import org.acaciaflow.coordination.suspect.SuspectPolicy
import org.acaciaflow.coordination.suspect.SuspectVerdict
import org.acaciaflow.state.backend.Availability
import org.acaciaflow.state.backend.BackendServer
import org.acaciaflow.state.backend.BackendServers
import org.acaciaflow.state.identity.AttemptIdentityFactory
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.suspect.CrashSuspects
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.waiting.WaitingRequest
import org.acaciaflow.state.waiting.WaitingRequests
import kotlin.random.Random
import kotlin.time.Instant

/** Assigns waiting requests to backend servers with free capacity. */
class Dispatcher(
    private val waiting: SharedTable<WaitingRequests>,
    private val servers: SharedTable<BackendServers>,
    private val suspects: SharedTable<CrashSuspects>,
    private val attempts: AttemptIdentityFactory,
    private val ownDataCentre: DataCentre,
    private val policy: DispatchPolicy,
    private val random: Random,
) {
    /** Dequeues the next request that is within its deadline at [now]; null when no request can be assigned. */
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

    /** Removes the attempt of [assignment] from its server's outstanding attempts. */
    fun release(assignment: Assignment) {
        servers.update { it.released(assignment.server, assignment.attempt) }
    }

    private fun assign(
        queue: WaitingRequests,
        known: BackendServers,
        choice: Choice,
    ): Transition<BackendServers, Transition<WaitingRequests, Assignment?>> {
        val assignment = Assignment(choice.request, attempts.next(), choice.server.process, choice.alone)
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
            val serving = serving(known, pool)
            if (serving.isEmpty()) continue
            val inTime = candidates(policy.queue, pending).filter { it.profile.deadline > now }
            for (request in inTime) {
                return choiceFor(request, serving, now) ?: continue
            }
        }
        return null
    }

    private fun choiceFor(
        request: WaitingRequest,
        serving: List<BackendServer>,
        now: Instant,
    ): Choice? {
        val suspect = suspects.snapshot().suspects[request.profile.digest]
        val alone = SuspectPolicy.verdict(suspect, now) != SuspectVerdict.CLEAR
        val server = if (alone) suspectServer(request, serving) else serverFor(request, serving.filter(::hasCapacity))
        return server?.let { Choice(request, it, alone) }
    }

    /** Chooses a designated server that is idle, or one not tried yet, whose sidecar reserves the engine when busy. */
    private fun suspectServer(
        request: WaitingRequest,
        serving: List<BackendServer>,
    ): BackendServer? {
        val designated = SuspectPolicy.designated(request.profile.digest, serving.map { it.address })
        return serving
            .filter { it.address in designated }
            .firstOrNull { it.predictedRunning == 0 || it.address !in request.excluded }
    }

    private fun serverFor(
        request: WaitingRequest,
        open: List<BackendServer>,
    ): BackendServer? {
        if (open.isEmpty()) return null
        val untried = open.filter { it.address !in request.excluded }
        val usable = untried.ifEmpty { open }
        val local = usable.filter { it.dataCentre == ownDataCentre }
        return select(policy.selection, local.ifEmpty { usable }, request.profile, random)
    }

    private fun serving(
        known: BackendServers,
        pool: PoolName,
    ): List<BackendServer> = known.servers.values.filter { it.pool == pool && it.availability == Availability.Serving }

    private fun hasCapacity(server: BackendServer): Boolean = server.predictedRunning < server.load.capacity

    private data class Choice(
        val request: WaitingRequest,
        val server: BackendServer,
        val alone: Boolean,
    )
}
