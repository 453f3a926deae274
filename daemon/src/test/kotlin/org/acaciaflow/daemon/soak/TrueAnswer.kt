package org.acaciaflow.daemon.soak

import kotlin.random.Random

/** The answer that belongs to an arrival, as it would be written whole, and the [outcome] that it tells. */
internal data class TrueAnswer(
    val reply: Reply,
    val outcome: ServerOutcome,
)

/** An answer with success, and its [body] without framing. */
internal data class SuccessReply(
    val reply: Reply,
    val body: String,
)

/** The true answer to [arrival], with [success] if [plan] has that verdict; its outcome has nothing written yet. */
internal fun trueAnswer(
    arrival: ServerArrival,
    plan: ArrivalPlan,
    success: SuccessReply,
): TrueAnswer =
    when (val verdict = plan.verdict) {
        Verdict.Success -> TrueAnswer(success.reply, ServerOutcome.Answered(OK, success.body, wroteWhole = false))
        Verdict.ServerError, is Verdict.SlowServerError -> failed(SERVER_ERROR, arrival, plan)
        Verdict.OwnTimeLimit, is Verdict.TimeLimit -> failed(TIME_LIMIT, arrival, plan)
        is Verdict.Refusal -> {
            val retryAfter = verdict.retryAfterSeconds?.let { "Retry-After: $it" }
            rejected(SERVICE_UNAVAILABLE, arrival, plan, listOfNotNull("Not-Executed: 1", retryAfter))
        }
        Verdict.Misdirected -> rejected(MISDIRECTED, arrival, plan, listOf("Instance-Id: ${arrival.instance}"))
    }

/** The second answer of the kind [content] to [arrival] with [plan], in one piece. */
internal fun secondAnswer(
    content: StutterContent,
    arrival: ServerArrival,
    plan: ArrivalPlan,
    truth: Reply,
    success: SuccessReply,
): Reply {
    val (requestId, stamp) = arrival.requestId to arrival.stamp
    return when (content) {
        StutterContent.SmallSuccess -> reply(OK, requestId, stamp, "ok")
        StutterContent.ExactCopy -> truth.joined()
        StutterContent.WholeSuccess -> success.reply.joined()
        StutterContent.Failure -> reply(SERVER_ERROR, requestId, stamp, "failed afterwards")
        StutterContent.EventStream -> streamReply(requestId, stamp, eventsOf(arrival)).joined()
        StutterContent.WithoutId -> reply(OK, null, stamp, "ok")
        is StutterContent.OwnBody -> {
            val body = ownBody(content.length, stamp, success.body.length)
            when (content.head) {
                OwnHead.TRUE_FORM -> plainSuccess(arrival, plan, body)
                OwnHead.BARE -> bareSuccess(requestId, stamp, body)
            }
        }
    }
}

/** The body that only the second answer to the arrival with [stamp] has; [fullLength] is that of its true success. */
private fun ownBody(
    length: OwnLength,
    stamp: String,
    fullLength: Int,
): String {
    val random = Random(stamp.hashCode() + 1)
    val characters =
        when (length) {
            OwnLength.SHORT -> SHORT_BODY
            OwnLength.FULL -> fullLength
        }
    return String(CharArray(characters) { OWN_CHARACTERS.random(random) })
}

private fun failed(
    status: Int,
    arrival: ServerArrival,
    plan: ArrivalPlan,
): TrueAnswer {
    val body = "failed ${arrival.stamp}"
    return TrueAnswer(
        reply(status, arrival.requestId, arrival.stamp, body, plan.closingFields, plan.framing),
        ServerOutcome.Answered(status, body, wroteWhole = false),
    )
}

private fun rejected(
    status: Int,
    arrival: ServerArrival,
    plan: ArrivalPlan,
    fields: List<String>,
): TrueAnswer {
    val body = "not run ${arrival.stamp}"
    return TrueAnswer(
        reply(status, arrival.requestId, arrival.stamp, body, fields + plan.closingFields, plan.framing),
        ServerOutcome.Rejected(status),
    )
}

private val OWN_CHARACTERS = '!'..'~'
private const val SHORT_BODY = 2
private const val OK = 200
private const val MISDIRECTED = 421
private const val SERVER_ERROR = 500
private const val SERVICE_UNAVAILABLE = 503
private const val TIME_LIMIT = 504
