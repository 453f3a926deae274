package org.acaciaflow.coordination.limit

import org.acaciaflow.state.limit.LimitWord
import org.acaciaflow.state.limit.RequestTokens
import org.acaciaflow.state.limit.ServerLimit
import org.acaciaflow.state.limit.TokenReservation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Whether a backend server takes a request as far as its limit is concerned. */
sealed interface LimitStanding {
    /** It names no limit. */
    data object Open : LimitStanding

    /** A token is there for the request. */
    data object MayStart : LimitStanding

    /** There is no token; the next one comes at [until], null if this gateway has no part of the limit. */
    data class HeldBack(
        val until: Instant?,
    ) : LimitStanding
}

/** Decides from the tokens of this gateway's part of a limit when a request may be sent. */
object LimitTokens {
    /** Returns an empty bucket at [now] that gets [perSecond] tokens a second. */
    fun empty(
        perSecond: Double,
        now: Instant,
    ): RequestTokens = RequestTokens(amount = 0.0, perSecond, now)

    /** Returns [tokens] with the rate [perSecond] from [now] on; a gateway without a part keeps no tokens. */
    fun withRate(
        tokens: RequestTokens,
        perSecond: Double,
        now: Instant,
    ): RequestTokens {
        val kept = if (perSecond > 0.0) minOf(amountAt(tokens, now), capacity(perSecond)) else 0.0
        return RequestTokens(kept, perSecond, now)
    }

    /** Returns whether the server with [limit] takes the request [requestId] of [urgency] at [now]. */
    fun standing(
        limit: ServerLimit?,
        requestId: String,
        urgency: Int,
        now: Instant,
    ): LimitStanding {
        if (limit == null || limit.word is LimitWord.Ended) return LimitStanding.Open
        val amount = amountAt(limit.tokens, now)
        val needed = if (isKeptFromOthers(limit.reservation, requestId, urgency, now)) 2.0 else 1.0
        val perSecond = limit.tokens.perSecond
        return when {
            amount >= needed - ROUNDING -> LimitStanding.MayStart
            perSecond <= 0.0 -> LimitStanding.HeldBack(until = null)
            else -> LimitStanding.HeldBack(now + ((needed - amount) / perSecond).seconds)
        }
    }

    /** Takes one token at [now]; ends the reservation if it is that of the request [requestId]. */
    fun taken(
        limit: ServerLimit,
        requestId: String,
        now: Instant,
    ): ServerLimit {
        val left = (amountAt(limit.tokens, now) - 1.0).coerceAtLeast(0.0)
        val reservation = limit.reservation?.takeIf { it.requestId != requestId }
        return limit.copy(tokens = limit.tokens.copy(amount = left, at = now), reservation = reservation)
    }

    /** Keeps the next token for the request [requestId] of [urgency]; null if a request as urgent waits for it. */
    fun reserved(
        limit: ServerLimit,
        requestId: String,
        urgency: Int,
        now: Instant,
    ): ServerLimit? {
        if (isKeptFromOthers(limit.reservation, requestId, urgency, now)) return null
        val until =
            when (val standing = standing(limit, requestId, urgency, now)) {
                LimitStanding.Open, LimitStanding.MayStart -> now
                is LimitStanding.HeldBack -> standing.until ?: return null
            }
        return limit.copy(reservation = TokenReservation(requestId, urgency, until))
    }

    /** The most tokens that a gateway keeps whose part is [perSecond]. */
    fun capacity(perSecond: Double): Double = maxOf(1.0, perSecond * KEPT_FOR.toDouble(DurationUnit.SECONDS))

    private fun amountAt(
        tokens: RequestTokens,
        now: Instant,
    ): Double {
        val elapsed = (now - tokens.at).coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
        return minOf(capacity(tokens.perSecond), tokens.amount + tokens.perSecond * elapsed)
    }

    private fun isKeptFromOthers(
        reservation: TokenReservation?,
        requestId: String,
        urgency: Int,
        now: Instant,
    ): Boolean =
        reservation != null &&
            reservation.requestId != requestId &&
            reservation.urgency <= urgency &&
            now < reservation.until + CLAIM_PERIOD

    private const val ROUNDING = 1e-6 // a request that waited until its token is there finds it
    private val KEPT_FOR: Duration = 500.milliseconds
    private val CLAIM_PERIOD: Duration = 50.milliseconds
}
