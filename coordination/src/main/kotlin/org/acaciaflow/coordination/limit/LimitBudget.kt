package org.acaciaflow.coordination.limit

import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.event.NoticeOrigin
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.limit.LimitWord
import org.acaciaflow.state.limit.ServerLimits
import org.acaciaflow.state.table.Transition
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The requests that the gateway [self] may send to backend servers that name a limit.
 *
 * Without an address, which gateways without peers don't need, the whole limit is this gateway's.
 */
class LimitBudget(
    private val tables: RelayTables,
    self: HostAddress?,
    private val observations: Observations,
) {
    private val self = self ?: NO_ADDRESS

    /** Records that [backend] named [perSecond] in the answer to the request [requestId], which arrived at [now]. */
    fun named(
        backend: BackendEntry,
        requestId: String,
        perSecond: Double,
        now: Instant,
    ) = record(backend, NoticeOrigin.Answer(requestId), now) { LimitWords.named(perSecond, now) }

    /** Records that [backend] named no limit in the answer at [now] to the request [requestId], sent at [sentAt]. */
    fun unnamed(
        backend: BackendEntry,
        requestId: String,
        sentAt: Instant,
        now: Instant,
    ) {
        if (backend.life !in tables.limits.snapshot().byLife) return
        record(backend, NoticeOrigin.Answer(requestId), now) { former ->
            former?.let { LimitWords.unnamed(it, sentAt, now) }
        }
    }

    /** Returns true if the request [requestId] may be sent to [life] at [now]. */
    fun mayClaim(
        life: BackendLife,
        requestId: String,
        urgency: Int,
        now: Instant,
    ): Boolean {
        val limit = tables.limits.snapshot().byLife[life]
        return LimitTokens.standing(limit, requestId, urgency, now) !is LimitStanding.HeldBack
    }

    /** Returns true, and takes a token if one is needed, if the request [requestId] may be sent to [life] at [now]. */
    fun claim(
        life: BackendLife,
        requestId: String,
        urgency: Int,
        now: Instant,
    ): Boolean {
        if (life !in tables.limits.snapshot().byLife) return true
        return tables.limits.transition { LimitPolicy.claimed(it, life, requestId, urgency, now) }
    }

    /** Keeps the next token of [life] for the request [requestId]; returns when it comes, null if it is not kept. */
    fun reserve(
        life: BackendLife,
        requestId: String,
        urgency: Int,
        now: Instant,
    ): Instant? = tables.limits.transition { LimitPolicy.reserved(it, life, requestId, urgency, now) }

    /** Returns how long after [now] a caller of [pool] should return that is refused because of limits. */
    fun returnAfter(
        pool: PoolName,
        now: Instant,
    ): Duration = tables.limits.transition { LimitPolicy.returning(it, pool, now) }

    /** Declares this gateway's demands for a report at [now], and computes its parts from those of all gateways. */
    fun declare(now: Instant): ServerLimits {
        if (tables.limits
                .snapshot()
                .byLife
                .isEmpty()
        ) {
            return ServerLimits.NONE
        }
        val fleet = tables.fleet.snapshot()
        val known = tables.peers.snapshot().known
        val windows = tables.retryWindows.snapshot()
        return tables.limits.update { limits ->
            LimitPolicy.refreshed(LimitPolicy.declared(limits, windows, now), fleet, self, known, now)
        }
    }

    /** Records the [words] and the [demands] in a report of [peer] that arrived at [now]. */
    fun reported(
        peer: HostAddress,
        words: Map<BackendEntry, LimitWord>,
        demands: Map<PoolName, Double>,
        now: Instant,
    ) {
        if (demands.isNotEmpty()) tables.limits.update { LimitPolicy.demanded(it, peer, demands) }
        for ((backend, word) in words) {
            record(backend, NoticeOrigin.Report(peer), now) { former -> LimitWords.reported(former, word) }
        }
    }

    /** Records the word that [next] decides on; the part changes only with the word. */
    private fun record(
        backend: BackendEntry,
        origin: NoticeOrigin,
        now: Instant,
        next: (LimitWord?) -> LimitWord?,
    ) {
        val life = backend.life
        val former =
            tables.limits
                .snapshot()
                .byLife[life]
                ?.word
        if (next(former) == former) return
        val change =
            tables.limits.transition { limits ->
                val latest = limits.byLife[life]?.word
                val word = next(latest) ?: return@transition Transition(limits, LimitChange.None)
                if (latest != null && LimitWords.saysSame(latest, word)) {
                    return@transition Transition(LimitPolicy.confirmed(limits, life, word), LimitChange.None)
                }
                val known = tables.peers.snapshot().known
                val part = LimitPolicy.partOf(word, PoolDemands.of(limits, backend.pool, self, known), life)
                LimitPolicy.recorded(limits, life, backend.pool, word, part, now)
            }
        when (change) {
            LimitChange.None -> Unit
            is LimitChange.Begun -> observations.event(Event.BackendLimited(life, change.perSecond, origin))
            is LimitChange.Changed ->
                observations.event(Event.BackendLimitChanged(life, change.former, change.perSecond, origin))
            LimitChange.Ended -> observations.event(Event.BackendLimitEnded(life, origin))
        }
    }

    private companion object {
        val NO_ADDRESS = HostAddress("none", port = 0)
    }
}
