package org.acaciaflow.daemon.soak

/** What a server does with one arrival: how the work ends, how its true answer is written, and what is written beside it. */
internal data class ArrivalPlan(
    val verdict: Verdict,
    val delivery: Delivery,
    val stutter: Stutter?,
    val framing: Framing,
    val closesAfterwards: Boolean,
    val workMilliseconds: Long,
    val losesHandle: Boolean,
    /** How long the true answer falls silent halfway. */
    val silenceMilliseconds: Long = 0,
) {
    /** The fields of a true answer that say whether the connection ends. */
    val closingFields: List<String>
        get() = if (closesAfterwards && framing != Framing.UNTIL_CLOSE) listOf("Connection: close") else emptyList()

    /** This plan for a request whose time limit is [milliseconds] from now. */
    fun limitedTo(milliseconds: Long): ArrivalPlan =
        if (verdict == Verdict.OwnTimeLimit) copy(verdict = Verdict.TimeLimit(milliseconds)) else this

    /** This plan, whose connection ends after the answer if the server [isLeaving] and no second answer follows. */
    fun closing(isLeaving: Boolean): ArrivalPlan =
        copy(closesAfterwards = closesAfterwards || (isLeaving && stutter == null))
}

/** How the work on an arrival ends. */
internal sealed interface Verdict {
    /** How long the work takes beyond that of other verdicts. */
    val extraMilliseconds: Long
        get() =
            when (this) {
                is TimeLimit -> milliseconds
                is SlowServerError -> milliseconds
                Success, ServerError, OwnTimeLimit, is Refusal, Misdirected -> 0
            }

    /** The request is run with success: 200. */
    data object Success : Verdict

    /** The request is run and fails: 500. */
    data object ServerError : Verdict

    /** The request is run and fails after [milliseconds] of work: 500. */
    data class SlowServerError(
        val milliseconds: Long,
    ) : Verdict

    /** The request is run until its own time limit: 504. It becomes a [TimeLimit] when the request is known. */
    data object OwnTimeLimit : Verdict

    /** The request is run until the time limit, after [milliseconds]: 504. */
    data class TimeLimit(
        val milliseconds: Long,
    ) : Verdict

    /** The server is full: 503 with `Not-Executed`, and with `Retry-After` if [retryAfterSeconds] is given. */
    data class Refusal(
        val retryAfterSeconds: Int?,
    ) : Verdict

    /** The request is for another instance or another stage: 421, not run. Follows from the request, is never drawn. */
    data object Misdirected : Verdict
}

/** How the true answer is written. */
internal sealed interface Delivery {
    /** True if the whole true answer is written. */
    val writesWhole: Boolean
        get() =
            when (this) {
                Whole, Early, NonsenseBefore, is AfterInterim -> true
                Reset, Mute, NonsenseInstead, is Lost, is CutShort -> false
            }

    /** It is written whole. */
    data object Whole : Delivery

    /** Nothing is written, and the connection is reset. */
    data object Reset : Delivery

    /** Nothing is written, and no further request is read from the connection. */
    data object Mute : Delivery

    /** Nothing is written; the connection ends if [closes], else its next request is served. */
    data class Lost(
        val closes: Boolean,
    ) : Delivery

    /** The answer stops halfway (a stream inside an event), and the connection is reset if [resets], else closed. */
    data class CutShort(
        val resets: Boolean,
    ) : Delivery

    /** Bytes that are no answer come before the answer. */
    data object NonsenseBefore : Delivery

    /** Bytes that are no answer come instead of the answer; the next request of the connection is served. */
    data object NonsenseInstead : Delivery

    /** The answer is written before the request's body is read. A stream is not: its events follow from that body. */
    data object Early : Delivery

    /** An interim answer with [status] comes before the answer. */
    data class AfterInterim(
        val status: Int,
    ) : Delivery
}

/** How a reader finds the end of an answer's body. */
internal enum class Framing {
    LENGTH,
    CHUNKED,

    /** The body ends with the connection. */
    UNTIL_CLOSE,
}
