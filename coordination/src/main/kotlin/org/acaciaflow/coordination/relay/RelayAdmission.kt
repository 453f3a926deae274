package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.port.CallFacts
import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.coordination.port.WholeBody
import org.acaciaflow.coordination.routing.RouteLookup
import org.acaciaflow.state.bytes.fingerprintOf
import org.acaciaflow.state.crash.crashSubjectsOf
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.Route
import org.acaciaflow.state.route.RoutingConfiguration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Decides whether a call is admitted and which route applies to it. */
internal class RelayAdmission(
    private val tables: RelayTables,
    private val quarantine: QuarantineCheck,
    private val stop: StopSignal,
) {
    /** Admits the call of [exchange] at [now] or returns the reason for refusing it. */
    fun admit(
        exchange: CallerExchange,
        facts: CallFacts,
        body: WholeBody,
        now: Instant,
    ): Admission {
        val configuration = tables.routing.snapshot().configuration
        if (!configuration.known) return refused(NotRun.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER, configuration)
        val route =
            RouteLookup.routeOf(configuration, facts.host, facts.path)
                ?: return refused(NotRun.UNKNOWN_CALL, retryAfter = null, configuration)
        val deadline = now + minOf(route.timeout, facts.timeLimit ?: route.timeout)
        if (!StopPolicy.mayAdmit(route.kind, deadline, stop.phase, now)) {
            return refused(NotRun.STOPPING, STOPPING_RETRY_AFTER, configuration)
        }
        val request = requestOf(exchange, facts, body, route, configuration, now, deadline)
        val quarantineEnd = quarantine.quarantinedUntil(request, now)
        if (quarantineEnd != null) return refused(NotRun.CRASH_SUSPECT, quarantineEnd - now, configuration)
        return Admission.Admitted(request)
    }

    private fun refused(
        reason: NotRun,
        retryAfter: Duration?,
        configuration: RoutingConfiguration,
    ): Admission = Admission.Refused(reason, retryAfter, configuration.version)

    private fun requestOf(
        exchange: CallerExchange,
        facts: CallFacts,
        body: WholeBody,
        route: Route,
        configuration: RoutingConfiguration,
        now: Instant,
        deadline: Instant,
    ): RelayedRequest {
        val pool = RouteLookup.poolOf(route.destinations, poolIdOf(route, facts))
        val digest = fingerprintOf("${exchange.call.method} ${exchange.call.target} ", body.bytes)
        return RelayedRequest(
            exchange = exchange,
            facts = facts,
            body = body,
            route = route,
            pool = pool,
            service = configuration.services[pool],
            version = configuration.version,
            crashSubjects = crashSubjectsOf(digest, facts.prompt),
            arrivedAt = now,
            deadline = deadline,
        )
    }

    private companion object {
        val NO_CONFIGURATION_RETRY_AFTER: Duration = 1.seconds
        val STOPPING_RETRY_AFTER: Duration = 50.milliseconds // another gateway can serve the call immediately
    }
}

/** Returns the id that selects the pool of a request; a take-up is served by the pool that began its stream. */
internal fun poolIdOf(
    route: Route,
    facts: CallFacts,
): String {
    val isTakeUp = mayBeTakenUp(route.kind) && facts.resumeAfter != null
    return facts.firstAttempt?.takeIf { isTakeUp } ?: facts.requestId
}

/** The result of admission control for a call. */
internal sealed interface Admission {
    data class Admitted(
        val request: RelayedRequest,
    ) : Admission

    /** The call is refused; [version] is the configuration version in effect. */
    data class Refused(
        val reason: NotRun,
        val retryAfter: Duration?,
        val version: Long,
    ) : Admission
}
