package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** A wrong answer that a caller got: how the run ended that it claims to tell of, and what could be known before. */
internal data class WrongAnswer(
    val ending: RunEnding,
    val route: RouteKind,
    val warning: Warning,
)

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
    private val surplus = surplusAnswers().groupBy { it.stamp?.let(::lifeOf) }

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
