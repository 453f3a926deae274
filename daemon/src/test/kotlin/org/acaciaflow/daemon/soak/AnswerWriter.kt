package org.acaciaflow.daemon.soak

/** Writes the answers to one arrival to its [connection] as [plan] says. */
internal class AnswerWriter(
    private val life: ServerLife,
    private val connection: SoakConnection,
    private val plan: ArrivalPlan,
) {
    /** Writes [reply], or what comes in place of it, and [second] if it goes into the same write. */
    fun writeTrueAnswer(
        reply: Reply,
        second: Reply?,
    ) {
        val joined = second.takeIf { plan.stutter?.moment == StutterMoment.SameWrite }
        when (val delivery = plan.delivery) {
            Delivery.Whole, Delivery.Early ->
                connection.write(
                    reply,
                    WritingKind.TRUE_ANSWER,
                    joined,
                    plan.silenceMilliseconds,
                )
            Delivery.NonsenseBefore -> {
                connection.write(nonsense, WritingKind.NONSENSE)
                connection.write(reply, WritingKind.TRUE_ANSWER, joined, plan.silenceMilliseconds)
            }
            is Delivery.AfterInterim -> {
                connection.write(interimReply(delivery.status), WritingKind.INTERIM_ANSWER)
                connection.write(reply, WritingKind.TRUE_ANSWER, joined, plan.silenceMilliseconds)
            }
            Delivery.NonsenseInstead -> connection.write(nonsense, WritingKind.NONSENSE, joined)
            is Delivery.CutShort -> connection.write(reply.cut(), WritingKind.TRUE_ANSWER)
            Delivery.Reset, Delivery.Mute, is Delivery.Lost ->
                joined?.let { connection.write(it, WritingKind.SECOND_ANSWER) }
        }
    }

    /** Plans [second] for its moment if that is counted from the arrival, which is now. */
    fun planSecondAnswer(second: Reply) =
        when (val moment = plan.stutter?.moment) {
            is StutterMoment.AfterArrival ->
                life.after(moment.milliseconds) { connection.write(second, WritingKind.SECOND_ANSWER) }
            null, StutterMoment.AtOnce, StutterMoment.SameWrite -> Unit
            is StutterMoment.Later, StutterMoment.WithNextRequest -> Unit
        }

    /** Writes [second] now or plans it for its moment, unless it went with the true answer or is planned already. */
    fun writeSecondAnswer(second: Reply) =
        when (val moment = plan.stutter?.moment) {
            null, StutterMoment.SameWrite, is StutterMoment.AfterArrival -> Unit
            StutterMoment.AtOnce -> connection.write(second, WritingKind.SECOND_ANSWER)
            StutterMoment.WithNextRequest -> connection.keepForNextRequest(second)
            is StutterMoment.Later ->
                life.after(moment.milliseconds) { connection.write(second, WritingKind.SECOND_ANSWER) }
        }

    /** Ends the connection if the plan says so; returns true if its next request may be read. */
    fun goesOn(): Boolean =
        when (val delivery = plan.delivery) {
            Delivery.Whole, Delivery.Early, Delivery.NonsenseBefore, is Delivery.AfterInterim -> !plan.closesAfterwards
            Delivery.NonsenseInstead -> true
            is Delivery.Lost -> !delivery.closes
            Delivery.Mute -> {
                connection.reader.awaitEnd()
                false
            }
            Delivery.Reset -> {
                connection.reset()
                false
            }
            is Delivery.CutShort -> {
                if (delivery.resets) connection.reset()
                false
            }
        }
}
