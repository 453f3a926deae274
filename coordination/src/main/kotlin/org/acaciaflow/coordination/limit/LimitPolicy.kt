package org.acaciaflow.coordination.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.limit.LimitWord
import org.acaciaflow.state.limit.ServerLimit
import org.acaciaflow.state.limit.ServerLimits
import org.acaciaflow.state.retry.RetryWindow
import org.acaciaflow.state.table.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What changed in the limit of a server that is worth an event. */
sealed interface LimitChange {
    data object None : LimitChange

    data class Begun(
        val perSecond: Double,
    ) : LimitChange

    data class Changed(
        val former: Double,
        val perSecond: Double,
    ) : LimitChange

    data object Ended : LimitChange
}

/** Applies what servers and peers say to the limits of backend servers. */
object LimitPolicy {
    /** Records [word], which says the same as the word known before, on [life]. */
    fun confirmed(
        limits: ServerLimits,
        life: BackendLife,
        word: LimitWord,
    ): ServerLimits {
        val former = limits.byLife[life] ?: return limits
        return limits.copy(byLife = limits.byLife.put(life, former.copy(word = word)))
    }

    /** Records [word] on [life] of [pool], of which this gateway gets [part] requests a second from [now] on. */
    fun recorded(
        limits: ServerLimits,
        life: BackendLife,
        pool: PoolName,
        word: LimitWord,
        part: Double,
        now: Instant,
    ): Transition<ServerLimits, LimitChange> {
        val former = limits.byLife[life]
        val change = changeTo(word, former?.loggedPerSecond)
        val latest =
            ServerLimit(
                pool = pool,
                word = word,
                tokens = former?.let { LimitTokens.withRate(it.tokens, part, now) } ?: LimitTokens.empty(part, now),
                reservation = former?.reservation,
                loggedPerSecond = loggedAfter(change, former?.loggedPerSecond),
            )
        return Transition(limits.copy(byLife = limits.byLife.put(life, latest)), change)
    }

    /** Computes the parts of all limits anew at [now]; drops the servers and gateways that are not known any more. */
    fun refreshed(
        limits: ServerLimits,
        fleet: Fleet,
        self: HostAddress,
        known: Set<HostAddress>,
        now: Instant,
    ): ServerLimits {
        val lives =
            fleet.entries.values
                .map { it.life }
                .toSet()
        val current =
            limits.byLife.filter { (life, limit) ->
                life in lives && !LimitWords.isForgotten(limit.word, now)
            }
        val peerDemands = limits.peerDemands.filterKeys { it in known }.toPersistentMap()
        val kept = limits.copy(peerDemands = peerDemands)
        val demands = poolsOf(current.values).associateWith { PoolDemands.of(kept, it, self, known) }
        val parts =
            current.mapValues { (life, limit) ->
                val part = partOf(limit.word, demands.getValue(limit.pool), life)
                limit.copy(tokens = LimitTokens.withRate(limit.tokens, part, now))
            }
        return kept.copy(byLife = parts.toPersistentMap())
    }

    /** The part that [word] on [life] leaves to the gateway with [demands]; nothing is needed without a limit. */
    fun partOf(
        word: LimitWord,
        demands: PoolDemands,
        life: BackendLife,
    ): Double =
        when (word) {
            is LimitWord.Named -> LimitShares.part(demands, life, word.perSecond)
            is LimitWord.Ended -> 0.0
        }

    /** Records the demands at [now] that the next report declares for every pool with a limit. */
    fun declared(
        limits: ServerLimits,
        windows: PersistentMap<PoolName, RetryWindow>,
        now: Instant,
    ): ServerLimits {
        val demands =
            poolsOf(limits.byLife.values).associateWith { pool ->
                PoolDemands.declared(limits.declared[pool], PoolDemands.measured(windows[pool], now))
            }
        return limits.copy(declared = demands.toPersistentMap())
    }

    /** Records the [demands] of [peer]; it keeps those that its report does not name. */
    fun demanded(
        limits: ServerLimits,
        peer: HostAddress,
        demands: Map<PoolName, Double>,
    ): ServerLimits {
        if (demands.isEmpty()) return limits
        val former = limits.peerDemands[peer] ?: persistentMapOf()
        return limits.copy(peerDemands = limits.peerDemands.put(peer, former.putAll(demands)))
    }

    /** Takes a token for the request [requestId] to [life]; the outcome is false if there is none. */
    fun claimed(
        limits: ServerLimits,
        life: BackendLife,
        requestId: String,
        urgency: Int,
        now: Instant,
    ): Transition<ServerLimits, Boolean> {
        val limit = limits.byLife[life] ?: return Transition(limits, true)
        return when (LimitTokens.standing(limit, requestId, urgency, now)) {
            LimitStanding.Open -> {
                Transition(limits, true)
            }

            LimitStanding.MayStart -> {
                val taken = LimitTokens.taken(limit, requestId, now)
                Transition(limits.copy(byLife = limits.byLife.put(life, taken)), true)
            }

            is LimitStanding.HeldBack -> {
                Transition(limits, false)
            }
        }
    }

    /** Keeps the next token of [life] for the request [requestId]; the outcome is when it comes, null if not kept. */
    fun reserved(
        limits: ServerLimits,
        life: BackendLife,
        requestId: String,
        urgency: Int,
        now: Instant,
    ): Transition<ServerLimits, Instant?> {
        val kept = limits.byLife[life]?.let { LimitTokens.reserved(it, requestId, urgency, now) }
        if (kept == null) return Transition(limits, null)
        return Transition(limits.copy(byLife = limits.byLife.put(life, kept)), kept.reservation?.until)
    }

    /**
     * The outcome is how long after [now] a refused caller of [pool] should return.
     *
     * Callers get the times of successive tokens of this gateway, so that they do not return together. Beyond
     * [MAXIMUM_RETURN] the times start over.
     */
    fun returning(
        limits: ServerLimits,
        pool: PoolName,
        now: Instant,
    ): Transition<ServerLimits, Duration> {
        val perSecond =
            limits.byLife.values
                .filter { it.pool == pool }
                .sumOf { it.tokens.perSecond }
                .coerceAtLeast(LEAST_RETURNS_PER_SECOND)
        val interval = (1.0 / perSecond).seconds
        val former = limits.returns[pool]?.takeIf { it > now && it + interval <= now + MAXIMUM_RETURN } ?: now
        val next = former + interval
        return Transition(limits.copy(returns = limits.returns.put(pool, next)), next - now)
    }

    private fun changeTo(
        word: LimitWord,
        logged: Double?,
    ): LimitChange =
        when (word) {
            is LimitWord.Named -> {
                when {
                    logged == null -> LimitChange.Begun(word.perSecond)
                    LimitWords.isLargeChange(logged, word.perSecond) -> LimitChange.Changed(logged, word.perSecond)
                    else -> LimitChange.None
                }
            }

            is LimitWord.Ended -> {
                if (logged == null) LimitChange.None else LimitChange.Ended
            }
        }

    private fun loggedAfter(
        change: LimitChange,
        former: Double?,
    ): Double? =
        when (change) {
            LimitChange.None -> former
            is LimitChange.Begun -> change.perSecond
            is LimitChange.Changed -> change.perSecond
            LimitChange.Ended -> null
        }

    private fun poolsOf(limits: Collection<ServerLimit>): Set<PoolName> = limits.map { it.pool }.toSet()

    private const val LEAST_RETURNS_PER_SECOND = 1.0
    private val MAXIMUM_RETURN: Duration = 10.seconds
}
