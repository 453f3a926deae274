package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Compares what callers got with what the servers say they did, and returns every rule that was broken.
 *
 * An arrival without an outcome belongs to a server that ended first; it counts as run if its body came whole.
 */
internal fun judge(
    entries: AccountEntries,
    calls: ImmutableList<CallRecord>,
): ImmutableList<Breach> = SoakJudge(entries, calls).breaches()

private class SoakJudge(
    private val entries: AccountEntries,
    private val calls: ImmutableList<CallRecord>,
) {
    private val callsById = calls.associateBy { it.requestId }
    private val arrivalsByStamp = entries.arrivals.associateBy { it.stamp }
    private val arrivalsById = entries.arrivals.groupBy { it.requestId }
    private val writingsByConnection = entries.writings.groupBy { it.connection }

    fun breaches(): ImmutableList<Breach> =
        (calls.flatMap(::ofCall) + entries.arrivals.flatMap(::ofArrival)).toImmutableList()

    private fun ofArrival(arrival: ServerArrival): List<Breach> =
        listOfNotNull(unasked(arrival), foreignHandle(arrival))

    private fun ofCall(call: CallRecord): List<Breach> =
        listOfNotNull(strayBytes(call), ofOutcome(call), twice(call), refused(call))

    private fun strayBytes(call: CallRecord): Breach? =
        if (call.bytesBefore.isEmpty()) {
            null
        } else {
            Breach.Mixed(call.requestId, "bytes came before the request: ${call.bytesBefore.take(TEXT_LIMIT)}", false)
        }

    private fun ofOutcome(call: CallRecord): Breach? =
        when (val outcome = call.outcome) {
            is CallOutcome.Answered -> ofAnswer(call, outcome)
            is CallOutcome.Malformed -> mixed(call, null, "bytes that are no answer: ${outcome.text.take(TEXT_LIMIT)}")
            is CallOutcome.Unanswered -> null
        }

    private fun ofAnswer(
        call: CallRecord,
        answer: CallOutcome.Answered,
    ): Breach? {
        val arrival = answer.stamp?.let { arrivalsByStamp[it] }
        return when {
            answer.requestId != null && answer.requestId != call.requestId ->
                mixed(call, arrival, "the answer has the id ${answer.requestId}")
            answer.stamp == null -> if (answer.isSuccess) mixed(call, null, "a success without a stamp") else null
            arrival == null -> mixed(call, null, "no request that arrived has the stamp ${answer.stamp}")
            arrival.requestId != call.requestId ->
                mixed(call, arrival, "the stamp ${answer.stamp} belongs to the request ${arrival.requestId}")
            answer.isSuccess -> ofSuccess(call, answer, arrival)
            else -> ofFailure(call, answer, arrival)
        }
    }

    private fun ofFailure(
        call: CallRecord,
        answer: CallOutcome.Answered,
        arrival: ServerArrival,
    ): Breach? {
        val status = statusOf(entries.outcomes[arrival.stamp])
        if (status == null || status == answer.status) return null
        return mixed(call, arrival, "${answer.status} where the server gave $status")
    }

    private fun ofSuccess(
        call: CallRecord,
        answer: CallOutcome.Answered,
        arrival: ServerArrival,
    ): Breach? {
        if (arrival.purpose == ArrivalPurpose.PREFILL) return mixed(call, arrival, "the answer to a prefill")
        return when (val outcome = entries.outcomes[arrival.stamp]) {
            is ServerOutcome.Rejected -> mixed(call, arrival, "a success where the server gave ${outcome.status}")
            is ServerOutcome.Answered -> ofRun(call, answer, arrival, outcome)
            null -> if (answer.whole) mixed(call, arrival, "a whole success of a run that did not end") else null
        }
    }

    private fun ofRun(
        call: CallRecord,
        answer: CallOutcome.Answered,
        arrival: ServerArrival,
        outcome: ServerOutcome.Answered,
    ): Breach? {
        val lengths = "${answer.body.length} of ${outcome.body.length} characters"
        return when {
            outcome.status !in SUCCESS -> mixed(call, arrival, "a success where the server gave ${outcome.status}")
            call.kind.isStream -> ofEvents(call, answer, arrival, outcome)
            answer.whole && answer.body != outcome.body -> mixed(call, arrival, "not the whole body: $lengths")
            else -> null
        }
    }

    /** A stream that may be resumed may go on with the events of another run of the same request. */
    private fun ofEvents(
        call: CallRecord,
        answer: CallOutcome.Answered,
        arrival: ServerArrival,
        outcome: ServerOutcome.Answered,
    ): Breach? {
        val expected = eventsOf(outcome.body).filter { it.id > (call.resumeAfter ?: 0) }
        val allowed =
            expected.toSet() + if (call.kind == CallKind.RESUMABLE_STREAM) eventsOfRuns(call.requestId) else emptySet()
        val received = eventsOf(answer.body)
        val endsInsideEvent = answer.body.isNotEmpty() && !answer.body.endsWith(EVENT_END)
        val reason =
            when {
                answer.whole && received.isEmpty() && answer.body.isNotEmpty() ->
                    return mixed(call, arrival, "no stream: ${answer.body.take(TEXT_LIMIT)}")
                received.map { it.id } != expected.map { it.id }.take(received.size) -> "events in another order"
                answer.whole && received.size < expected.size ->
                    "complete after ${received.size} of ${expected.size} events"
                received.any { it !in allowed } -> "an event that no run of the request made"
                answer.whole && endsInsideEvent -> "complete in the middle of an event"
                else -> return null
            }
        return Breach.Order(call.requestId, reason, causedByServer(arrival))
    }

    private fun eventsOfRuns(requestId: String): Set<StreamEvent> =
        arrivalsById[requestId]
            .orEmpty()
            .filter { it.purpose == ArrivalPurpose.RUN }
            .mapNotNull { entries.outcomes[it.stamp] as? ServerOutcome.Answered }
            .filter { it.status in SUCCESS }
            .flatMap { eventsOf(it.body) }
            .toSet()

    private fun unasked(arrival: ServerArrival): Breach? {
        val call = callsById[arrival.requestId]
        val reason =
            when {
                arrival.target.startsWith(OWN_CALLS) && arrival.requestId.isEmpty() -> return null
                call == null -> "no caller sent this id"
                arrival.method != call.method -> "the method ${arrival.method}"
                arrival.target != call.target -> "the target ${arrival.target}"
                !sameBody(call, arrival) -> "another body, ${arrival.body.length} characters"
                else -> return null
            }
        return Breach.Unasked(arrival.requestId, "${arrival.instance} got $reason")
    }

    /** A body that ended early has the beginning of the caller's. */
    private fun sameBody(
        call: CallRecord,
        arrival: ServerArrival,
    ): Boolean = if (arrival.bodyIsWhole) arrival.body == call.body else call.body.startsWith(arrival.body)

    private fun foreignHandle(arrival: ServerArrival): Breach? =
        if (arrival.handleOf == null || arrival.handleOf == arrival.requestId) {
            null
        } else {
            Breach.Mixed(arrival.requestId, "${arrival.instance} ran it from the handle of ${arrival.handleOf}", false)
        }

    private fun twice(call: CallRecord): Breach? {
        val runs = runsOf(call)
        return if (call.kind.atMostOnce && runs.size > 1) {
            Breach.Twice(call.requestId, "run ${runs.size} times, by ${runs.map { it.instance }}")
        } else {
            null
        }
    }

    private fun refused(call: CallRecord): Breach? {
        val status = (call.outcome as? CallOutcome.Answered)?.status
        val runs = runsOf(call)
        return if (call.kind.atMostOnce && status in PROMISES && runs.isNotEmpty()) {
            Breach.Refused(call.requestId, "answered $status and run by ${runs.map { it.instance }}")
        } else {
            null
        }
    }

    private fun runsOf(call: CallRecord): List<ServerArrival> =
        arrivalsById[call.requestId].orEmpty().filter {
            it.purpose == ArrivalPurpose.RUN &&
                when (entries.outcomes[it.stamp]) {
                    is ServerOutcome.Answered -> true
                    is ServerOutcome.Rejected -> false
                    null -> it.bodyIsWhole
                }
        }

    private fun mixed(
        call: CallRecord,
        arrival: ServerArrival?,
        reason: String,
    ): Breach {
        val own = arrivalsById[call.requestId].orEmpty()
        val suspects = if (arrival != null && arrival in own) listOf(arrival) else own
        return Breach.Mixed(call.requestId, reason, suspects.any { causedByServer(it) })
    }

    private fun causedByServer(arrival: ServerArrival): Boolean =
        wroteFalseAnswerFirst(arrival) || filledCutBody(arrival)

    /** Whether the head of a second answer came where the rest of the true one's body, by its length, was due. */
    private fun filledCutBody(arrival: ServerArrival): Boolean {
        val outcome = entries.outcomes[arrival.stamp] as? ServerOutcome.Answered
        val answer = callsById[arrival.requestId]?.outcome as? CallOutcome.Answered
        if (outcome == null || outcome.wroteWhole || answer?.body?.length != outcome.body.length) return false
        val written = writingsByConnection[arrival.connection].orEmpty()
        val next = written.dropWhile { it.stamp != arrival.stamp }.drop(1).firstOrNull()
        if (next?.kind != WritingKind.SECOND_ANSWER) return false
        val sameLength = answer.body.commonPrefixWith(outcome.body).length
        return (0..sameLength).any { beginsAnswer(answer.body.substring(it)) }
    }

    private fun beginsAnswer(text: String): Boolean =
        text.isNotEmpty() && (text.startsWith(ANSWER_START) || ANSWER_START.startsWith(text))

    /** Whether the first answer with the request's id, on a connection that had not carried the id, was not the true one. */
    private fun wroteFalseAnswerFirst(arrival: ServerArrival): Boolean {
        val carriedBefore =
            arrivalsById.getValue(arrival.requestId).any {
                it.connection == arrival.connection && it.stamp != arrival.stamp
            }
        val first = writingsByConnection[arrival.connection].orEmpty().firstOrNull { it.requestId == arrival.requestId }
        return !carriedBefore && first?.kind == WritingKind.SECOND_ANSWER
    }

    private companion object {
        const val TEXT_LIMIT = 120
        const val ANSWER_START = "HTTP/1.1 "
        const val OWN_CALLS = "/-/"
        val SUCCESS = 200..299
        val PROMISES = setOf(408, 421, 429, 503)
    }
}

/** The status that a server gave; null if it has not ended its work. */
internal fun statusOf(outcome: ServerOutcome?): Int? =
    when (outcome) {
        is ServerOutcome.Answered -> outcome.status
        is ServerOutcome.Rejected -> outcome.status
        null -> null
    }

/** An event of a stream with its whole text. */
internal data class StreamEvent(
    val id: Long,
    val text: String,
)

/** The complete events of [body], in the order in which they stand there; one without an id has the id -1. */
internal fun eventsOf(body: String): List<StreamEvent> =
    body
        .split(EVENT_END)
        .dropLast(1)
        .map { text ->
            val id = text.lines().firstOrNull { it.startsWith("id:") }?.substringAfter(':')
            StreamEvent(id?.trim()?.toLongOrNull() ?: -1, text)
        }

private const val EVENT_END = "\n\n"
