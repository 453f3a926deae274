package org.acaciaflow.coordination.relay

import org.acaciaflow.coordination.crash.CrashQuarantine
import org.acaciaflow.coordination.crash.CrashStanding
import org.acaciaflow.state.crash.CrashReports
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peers
import org.acaciaflow.state.table.Transition
import kotlin.time.Instant

/** Stops requests in quarantine for crashes, also those that came into it after they were admitted. */
internal class QuarantineCheck(
    private val tables: RelayTables,
    private val self: HostAddress?,
) {
    /** Returns when a request like [request] may be sent if it must not be admitted at [now]; null if it may be. */
    fun quarantinedUntil(
        request: RelayedRequest,
        now: Instant,
    ): Instant? =
        when (val standing = standingOf(request, tables.crashes.snapshot(), now)) {
            CrashStanding.Clear, is CrashStanding.MayTry -> null
            is CrashStanding.Quarantined -> standing.until
        }

    /** Returns the conclusion of [request] if it must not be sent to a backend server at [now]; null if it may be. */
    fun conclusion(
        request: RelayedRequest,
        progress: RelayProgress,
        now: Instant,
    ): Conclusion? = quarantinedUntil(request, now)?.let { quarantined(progress, left = it - now) }

    /** Asked straight before a send: as [conclusion], and records that [request] tries the parts in quarantine. */
    fun conclusionBeforeSend(
        request: RelayedRequest,
        progress: RelayProgress,
        now: Instant,
    ): Conclusion? =
        when (val standing = claimed(request, now)) {
            CrashStanding.Clear, is CrashStanding.MayTry -> null
            is CrashStanding.Quarantined -> quarantined(progress, left = standing.until - now)
        }

    private fun claimed(
        request: RelayedRequest,
        now: Instant,
    ): CrashStanding {
        val known = standingOf(request, tables.crashes.snapshot(), now)
        if (known !is CrashStanding.MayTry) return known
        return tables.crashes.transition { reports ->
            when (val standing = standingOf(request, reports, now)) {
                CrashStanding.Clear, is CrashStanding.Quarantined -> {
                    Transition(reports, standing)
                }

                is CrashStanding.MayTry -> {
                    val requestId = request.facts.requestId
                    Transition(CrashQuarantine.tried(reports, standing.parts, requestId, now), standing)
                }
            }
        }
    }

    private fun standingOf(
        request: RelayedRequest,
        reports: CrashReports,
        now: Instant,
    ): CrashStanding {
        val triesParts = isFirst(self, tables.peers.snapshot())
        return CrashQuarantine.standing(reports, request.crashSubjects, request.facts.requestId, triesParts, now)
    }

    /** Returns true if [self] is the first by its address of the gateways that take requests; null has no [peers]. */
    private fun isFirst(
        self: HostAddress?,
        peers: Peers,
    ): Boolean = self == null || peers.known.none { peers.live[it]?.stopping != true && "$it" < "$self" }
}
