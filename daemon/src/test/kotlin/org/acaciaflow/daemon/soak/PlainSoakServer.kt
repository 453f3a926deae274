package org.acaciaflow.daemon.soak

import kotlin.random.Random

/** A backend server of the plain service [service]. */
internal class PlainSoakServer(
    instance: String,
    private val service: String,
    run: SoakRun,
    mix: FaultMix = FaultMix.SOUND,
    born: Long = System.currentTimeMillis(),
) : SoakServer(instance, run, mix, born) {
    override fun ownFields(): String = """"service":"$service","version":"v1""""

    override fun controlReply(head: RequestHead): Reply? = null

    override fun admit(
        head: RequestHead,
        plan: ArrivalPlan,
    ): Admission = Admission(plan.verdict)

    override fun success(
        arrival: ServerArrival,
        plan: ArrivalPlan,
    ): SuccessReply {
        val body = plainBody(arrival.stamp)
        return SuccessReply(plainSuccess(arrival, plan, body), body)
    }

    override fun answersWithoutBody(purpose: ArrivalPurpose): Boolean = true
}

/** An answer with status 200 to [arrival], with the head that true successes of plain servers have. */
internal fun plainSuccess(
    arrival: ServerArrival,
    plan: ArrivalPlan,
    body: String,
): Reply {
    val fields = PLAIN_SUCCESS_FIELDS + plan.closingFields
    return reply(OK, arrival.requestId, arrival.stamp, body, fields, plan.framing)
}

/** The body of a plain server's answer with success to the arrival with [stamp]: its stamp, then text of some length. */
internal fun plainBody(stamp: String): String {
    val random = Random(stamp.hashCode())
    val words = List(random.nextInt(LONGEST_BODY_WORDS)) { random.nextInt().toString() }
    return (listOf(stamp) + words).joinToString(" ")
}

private val PLAIN_SUCCESS_FIELDS = listOf("Content-Type: text/plain", "Server-Load: 1,0,8")
private const val OK = 200
private const val LONGEST_BODY_WORDS = 200
