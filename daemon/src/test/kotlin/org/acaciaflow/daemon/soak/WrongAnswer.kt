package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** A wrong answer that a caller got: how the run ended that it claims to tell of, and what could be known before. */
internal data class WrongAnswer(
    val ending: RunEnding,
    val route: RouteKind,
    val warning: Warning,
    /** True if the request had reached a server before the arrival that the answer claims to tell of. */
    val isAfterResend: Boolean,
    /** True if it was the first second answer that this life of the server wrote. */
    val isFirstOfLife: Boolean,
) {
    /** What followed the wrong answer, or why it could come at all. */
    val kind: WrongAnswerKind
        get() =
            when {
                isAfterResend -> WrongAnswerKind.AFTER_RESEND
                else -> ending.kind
            }
}

/** The kinds of wrong answers; [text] is the name in the summary. */
internal enum class WrongAnswerKind(
    val text: String,
) {
    /** Nothing came behind it: the connection stayed silent or ended. */
    ALONE("alone"),
    BEFORE_SERVER_ERROR("before 500"),
    BEFORE_TIME_LIMIT("before 504"),

    /** The request had been sent to a server before. */
    AFTER_RESEND("after a resend"),

    /** The run succeeded with another body, had not begun or had not ended. */
    OTHER("other"),
}

/** How a server ended a run, by its account; [text] is its name in the summary. */
internal enum class RunEnding(
    val text: String,
) {
    SERVER_ERROR("500"),
    TIME_LIMIT("504"),

    /** The run failed, and the connection stayed silent. */
    HANG("hang"),

    /** The run failed, and the connection ended or went on without its answer. */
    LOST("lost"),
    SOUND("sound run"),

    /** It was not run, had not ended, or no server got it. */
    NO_RUN("no run"),
}

/** The kind of a wrong answer to a request that was sent to one server once. */
private val RunEnding.kind: WrongAnswerKind
    get() =
        when (this) {
            RunEnding.SERVER_ERROR -> WrongAnswerKind.BEFORE_SERVER_ERROR
            RunEnding.TIME_LIMIT -> WrongAnswerKind.BEFORE_TIME_LIMIT
            RunEnding.HANG, RunEnding.LOST -> WrongAnswerKind.ALONE
            RunEnding.SOUND, RunEnding.NO_RUN -> WrongAnswerKind.OTHER
        }

/** The kinds of routes, by what a gateway may do with their requests. */
internal enum class RouteKind(
    val text: String,
) {
    REPEATABLE("repeatable"),
    AT_MOST_ONCE("at most once"),
    STREAM("stream"),
}

/**
 * Which gateway had been written a surplus answer of the same life of the server before the request reached the server.
 *
 * An answer is surplus if its connection has brought one with the same id before. Whether the gateway has read it is
 * not known.
 */
internal enum class Warning(
    val text: String,
) {
    SAME_GATEWAY("same gateway warned"),
    OTHER_GATEWAY("another gateway warned"),
    NONE("no gateway warned"),
}

/** The wrong answers among [breaches], by the account and the calls that these follow from. */
internal fun wrongAnswers(
    breaches: List<Breach>,
    entries: AccountEntries,
    calls: List<CallRecord>,
): ImmutableList<WrongAnswer> = WrongAnswers(entries, calls).of(breaches)

private class WrongAnswers(
    private val entries: AccountEntries,
    calls: List<CallRecord>,
) {
    private val callsById = calls.associateBy { it.requestId }
    private val arrivalsByStamp = entries.arrivals.associateBy { it.stamp }
    private val arrivalsById = entries.arrivals.groupBy { it.requestId }
    private val surplus = surplusAnswers().groupBy { it.stamp?.let(::lifeOf) }
    private val firstOfLives = firstSecondAnswers()

    fun of(breaches: List<Breach>): ImmutableList<WrongAnswer> =
        breaches
            .filter { it is Breach.Mixed || it is Breach.Order }
            .mapNotNull { callsById[it.requestId] }
            .map(::wrongAnswer)
            .toImmutableList()

    private fun wrongAnswer(call: CallRecord): WrongAnswer {
        val arrival = (call.outcome as? CallOutcome.Answered)?.stamp?.let { arrivalsByStamp[it] }
        return WrongAnswer(
            ending = arrival?.let(::endingOf) ?: RunEnding.NO_RUN,
            route = call.kind.route,
            warning = arrival?.let { warningOf(it, call) } ?: Warning.NONE,
            isAfterResend = arrival != null && arrivalsById.getValue(arrival.requestId).first() != arrival,
            isFirstOfLife = arrival != null && firstOfLives[lifeOf(arrival.stamp)] == arrival.stamp,
        )
    }

    private fun endingOf(arrival: ServerArrival): RunEnding {
        val outcome = entries.outcomes[arrival.stamp] as? ServerOutcome.Answered ?: return RunEnding.NO_RUN
        if (outcome.status in SUCCESS) return RunEnding.SOUND
        return when (entries.plans[arrival.stamp]?.delivery) {
            Delivery.Mute -> RunEnding.HANG
            Delivery.Reset, is Delivery.Lost, Delivery.NonsenseInstead -> RunEnding.LOST
            null, Delivery.Whole, Delivery.Early, Delivery.NonsenseBefore, is Delivery.AfterInterim,
            is Delivery.CutShort,
            -> if (outcome.status == TIME_LIMIT) RunEnding.TIME_LIMIT else RunEnding.SERVER_ERROR
        }
    }

    private fun warningOf(
        arrival: ServerArrival,
        call: CallRecord,
    ): Warning {
        val before = surplus[lifeOf(arrival.stamp)].orEmpty().filter { it.atMilliseconds < arrival.atMilliseconds }
        val warned = before.map { callsById[it.requestId]?.gateway }
        return when {
            warned.isEmpty() -> Warning.NONE
            call.gateway in warned -> Warning.SAME_GATEWAY
            else -> Warning.OTHER_GATEWAY
        }
    }

    /** The stamps of the first second answers, by the lives of servers. */
    private fun firstSecondAnswers(): Map<String, String> =
        entries.writings
            .filter { it.kind == WritingKind.SECOND_ANSWER }
            .mapNotNull { it.stamp }
            .distinctBy(::lifeOf)
            .associateBy(::lifeOf)

    private fun surplusAnswers(): List<ServerWriting> =
        entries.writings
            .filter { it.requestId != null }
            .groupBy { it.connection to it.requestId }
            .flatMap { (_, sameId) -> sameId.drop(1) }

    /** The part of [stamp] that all arrivals of one life of a server have. */
    private fun lifeOf(stamp: String): String = stamp.substringBeforeLast('.')

    private companion object {
        const val TIME_LIMIT = 504
        val SUCCESS = 200..299
    }
}

/** The kind of route that requests of this kind take. */
internal val CallKind.route: RouteKind
    get() =
        when (this) {
            CallKind.READ, CallKind.REPEATABLE_WRITE -> RouteKind.REPEATABLE
            CallKind.SINGLE_WRITE -> RouteKind.AT_MOST_ONCE
            CallKind.STREAM, CallKind.RESUMABLE_STREAM -> RouteKind.STREAM
        }
