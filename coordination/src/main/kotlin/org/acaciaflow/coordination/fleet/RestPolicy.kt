package org.acaciaflow.coordination.fleet

import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.notice.BackendNotices
import org.acaciaflow.state.notice.BackendRest
import org.acaciaflow.state.notice.RestTrial
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Whether a backend server takes a request as far as its rest is concerned. */
sealed interface RestStanding {
    /** It does not rest. */
    data object Open : RestStanding

    /** Its rest is over, and the request may be the one that tries it. */
    data object MayTry : RestStanding

    /** It rests, or another request tries it; to be asked again at [until]. */
    data class Resting(
        val until: Instant,
    ) : RestStanding
}

/** Decides from backend servers' own words when they get requests again. */
object RestPolicy {
    /**
     * Records at [now] that [life] wants no requests for [duration]; a time promised earlier is never shortened.
     *
     * A random share is added, so that the gateways that were turned away together do not return together.
     */
    fun rested(
        notices: BackendNotices,
        life: BackendLife,
        duration: Duration,
        now: Instant,
        random: Random,
    ): BackendNotices {
        val spread = minOf(duration * SPREAD_SHARE, MAXIMUM_SPREAD) * random.nextDouble()
        val until = maxOf(now + duration + spread, notices.rests[life]?.until ?: now)
        val current = notices.rests.filterValues { it.until + FORGOTTEN_AFTER > now }
        return notices.copy(
            rests =
                notices.rests
                    .clear()
                    .putAll(current)
                    .put(life, BackendRest(until, trial = null)),
        )
    }

    /** Returns whether [life] takes the request [requestId] at [now]. */
    fun standing(
        notices: BackendNotices,
        life: BackendLife,
        requestId: String,
        now: Instant,
    ): RestStanding {
        val rest = notices.rests[life] ?: return RestStanding.Open
        val trial = rest.trial
        return when {
            now < rest.until -> RestStanding.Resting(rest.until)
            trial == null || trial.until <= now || trial.requestId == requestId -> RestStanding.MayTry
            else -> RestStanding.Resting(minOf(trial.until, now + TRIAL_CHECK_INTERVAL))
        }
    }

    /** Records that the request [requestId] tries [life] at [now]. */
    fun tried(
        notices: BackendNotices,
        life: BackendLife,
        requestId: String,
        now: Instant,
    ): BackendNotices {
        val rest = notices.rests[life] ?: return notices
        val trial = RestTrial(requestId, until = now + TRIAL_LIMIT)
        return notices.copy(rests = notices.rests.put(life, rest.copy(trial = trial)))
    }

    /**
     * Records that [life] has answered the request [requestId], without a new rest; [refused] if it did not execute it.
     *
     * Only the answer to the trial ends a rest: others may have been on their way when the server asked for it.
     */
    fun answered(
        notices: BackendNotices,
        life: BackendLife,
        requestId: String,
        refused: Boolean,
    ): BackendNotices {
        val rest = notices.rests[life] ?: return notices
        if (rest.trial?.requestId != requestId) return notices
        val rests = if (refused) notices.rests.put(life, rest.copy(trial = null)) else notices.rests.remove(life)
        return notices.copy(rests = rests)
    }

    private const val SPREAD_SHARE = 0.25
    private val MAXIMUM_SPREAD: Duration = 1.seconds
    private val TRIAL_LIMIT: Duration = 1.seconds // a server that does not answer its trial may be tried again
    private val TRIAL_CHECK_INTERVAL: Duration = 50.milliseconds
    private val FORGOTTEN_AFTER: Duration = 1.minutes // bounds the table: servers that left are not tried again
}
