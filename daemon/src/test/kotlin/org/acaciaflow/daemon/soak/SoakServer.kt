package org.acaciaflow.daemon.soak

import java.net.Socket

/**
 * A backend server of a soak, threads of this process on a loopback port, registered as [instance].
 *
 * It answers as its [mix] draws for each arrival, and records in the account of [run] what it has read and written.
 */
internal sealed class SoakServer(
    val instance: String,
    protected val run: SoakRun,
    /** The faults of the arrivals from now on. */
    @Volatile var mix: FaultMix,
    born: Long,
) : AutoCloseable {
    @Volatile
    private var life = ServerLife(1, born, port = 0, ::serve)

    @Volatile
    private var isDraining = false

    val address: String get() = "127.0.0.1:${life.port}"

    /** The entry of this server in the store, under `servers/` and its [instance]. */
    fun entry(): String {
        val state = if (isDraining) "draining" else "ready"
        return """{${ownFields()},"address":"$address","zone":"suba","slots":$SLOTS,"state":"$state",""" +
            """"cold_remaining_ms":0,"born":${life.born},"sequence":1}"""
    }

    /** From now on the entry says that this server is leaving; it goes on serving. */
    fun drain() {
        isDraining = true
    }

    /** Ends this life: the connections are closed, whatever runs on them. */
    fun stop() = life.end()

    /** Starts the server, which is stopped, again under its id and address; it knows nothing of its earlier life. */
    fun restart(born: Long) {
        run.handles.forget(address)
        isDraining = false
        life = ServerLife(life.number + 1, born, life.port, ::serve)
    }

    override fun close() = stop()

    /** The fields of the entry that only this kind of server has, its service and version among them. */
    protected abstract fun ownFields(): String

    /** The answer to a call that is no request of a caller, such as a report; null for all others. */
    protected abstract fun controlReply(head: RequestHead): Reply?

    /** Decides whether the request with [head] is run, whose verdict by the mix is that of [plan]. */
    protected abstract fun admit(
        head: RequestHead,
        plan: ArrivalPlan,
    ): Admission

    /** The answer with status 200 to [arrival], whole. */
    protected abstract fun success(
        arrival: ServerArrival,
        plan: ArrivalPlan,
        fields: List<String>,
    ): SuccessReply

    /** Keeps what a run or prefill with success leaves behind. */
    protected open fun succeeded(arrival: ServerArrival) = Unit

    /** True if the answer with success to an arrival for [purpose] is known before the request's body. */
    protected abstract fun answersWithoutBody(purpose: ArrivalPurpose): Boolean

    private fun serve(
        life: ServerLife,
        socket: Socket,
    ) {
        socket.tcpNoDelay = true
        val connection = SoakConnection(socket, instance, run)
        while (true) {
            val head = connection.reader.readHead() ?: return
            val reply = if (head.target == HEALTH_PATH) health() else controlReply(head)
            if (reply == null) {
                if (!handle(life, connection, head)) return
            } else {
                connection.reader.readBody(head)
                connection.writeKept()
                connection.write(reply, WritingKind.TRUE_ANSWER)
            }
        }
    }

    private fun health(): Reply {
        val status = if (isDraining) SERVICE_UNAVAILABLE else OK
        return reply(status, null, null, "", listOf("Instance-Id: $instance"))
    }

    /** Reads the body of a request and answers it; returns true if the connection's next request may be read. */
    private fun handle(
        life: ServerLife,
        connection: SoakConnection,
        head: RequestHead,
    ): Boolean {
        val stamp = "$instance.${life.number}.${life.nextArrival()}"
        val plan = mix.draw(run.randomFor(stamp))
        val admission = admissionOf(head, plan)
        val arrival = arrival(connection, stamp, head, admission)
        val isEarly = plan.delivery == Delivery.Early && answersEarly(arrival, admission.verdict)
        if (isEarly) answer(life, connection, arrival, admission.verdict, plan)
        val body = connection.reader.readBody(head)
        val whole = arrival.copy(body = body.text, bodyIsWhole = body.isWhole, atMilliseconds = run.clock())
        run.account.arrived(whole)
        if (!body.isWhole) return false
        if (!isEarly) answer(life, connection, whole, admission.verdict, plan)
        return goesOn(connection, plan)
    }

    private fun admissionOf(
        head: RequestHead,
        plan: ArrivalPlan,
    ): Admission =
        when (head.field("Expect-Instance")) {
            null, instance -> admit(head, plan)
            else -> Admission(Verdict.Misdirected)
        }

    private fun arrival(
        connection: SoakConnection,
        stamp: String,
        head: RequestHead,
        admission: Admission,
    ): ServerArrival =
        ServerArrival(
            instance = instance,
            connection = connection.number,
            stamp = stamp,
            requestId = head.field("Request-Id").orEmpty(),
            purpose = if (head.field("Serving-Stage") == null) ArrivalPurpose.RUN else ArrivalPurpose.PREFILL,
            method = head.method,
            target = head.target,
            body = "",
            resumeAfter = head.field("Last-Event-Id"),
            atMilliseconds = run.clock(),
            handleOf = admission.handleOf,
        )

    private fun answersEarly(
        arrival: ServerArrival,
        verdict: Verdict,
    ): Boolean = verdict != Verdict.Success || answersWithoutBody(arrival.purpose)

    /** Works on [arrival] and writes what [plan] says; the outcome is in the account before the first byte is written. */
    private fun answer(
        life: ServerLife,
        connection: SoakConnection,
        arrival: ServerArrival,
        verdict: Verdict,
        plan: ArrivalPlan,
    ) {
        val success = success(arrival, plan, closingFields(plan))
        val truth = truth(arrival, verdict, plan, success)
        run.account.ended(arrival.stamp, truth.outcome)
        Thread.sleep(plan.workMilliseconds + if (verdict is Verdict.TimeLimit) verdict.milliseconds else 0)
        if (verdict == Verdict.Success) succeeded(arrival)
        connection.writeKept()
        val second = plan.stutter?.let { secondAnswer(it.content, arrival, truth.reply, success.reply) }
        writeTrueAnswer(connection, truth.reply, plan, second)
        if (plan.delivery.writesWhole) run.account.ended(arrival.stamp, truth.outcome.written())
        if (second != null) writeSecondAnswer(life, connection, plan, second)
    }

    private fun truth(
        arrival: ServerArrival,
        verdict: Verdict,
        plan: ArrivalPlan,
        success: SuccessReply,
    ): TrueAnswer =
        when (verdict) {
            Verdict.Success -> TrueAnswer(success.reply, ServerOutcome.Answered(OK, success.body, wroteWhole = false))
            Verdict.ServerError -> failed(SERVER_ERROR, arrival, plan)
            is Verdict.TimeLimit -> failed(TIME_LIMIT, arrival, plan)
            is Verdict.Refusal -> {
                val retryAfter = verdict.retryAfterSeconds?.let { "Retry-After: $it" }
                rejected(SERVICE_UNAVAILABLE, arrival, plan, listOfNotNull("Not-Executed: 1", retryAfter))
            }
            Verdict.Misdirected -> rejected(MISDIRECTED, arrival, plan, listOf("Instance-Id: $instance"))
        }

    private fun failed(
        status: Int,
        arrival: ServerArrival,
        plan: ArrivalPlan,
    ): TrueAnswer {
        val body = "failed ${arrival.stamp}"
        val fields = closingFields(plan)
        return TrueAnswer(
            reply(status, arrival.requestId, arrival.stamp, body, fields, plan.framing),
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
        val allFields = fields + closingFields(plan)
        return TrueAnswer(
            reply(status, arrival.requestId, arrival.stamp, body, allFields, plan.framing),
            ServerOutcome.Rejected(status),
        )
    }

    private fun secondAnswer(
        content: StutterContent,
        arrival: ServerArrival,
        truth: Reply,
        success: Reply,
    ): Reply {
        val (requestId, stamp) = arrival.requestId to arrival.stamp
        return when (content) {
            StutterContent.SmallSuccess -> reply(OK, requestId, stamp, "ok")
            StutterContent.ExactCopy -> truth.joined()
            StutterContent.WholeSuccess -> success.joined()
            StutterContent.Failure -> reply(SERVER_ERROR, requestId, stamp, "failed afterwards")
            StutterContent.EventStream -> streamReply(requestId, stamp, eventsOf(arrival)).joined()
            StutterContent.WithoutId -> reply(OK, null, stamp, "ok")
        }
    }

    private fun writeTrueAnswer(
        connection: SoakConnection,
        reply: Reply,
        plan: ArrivalPlan,
        second: Reply?,
    ) {
        val joined = second.takeIf { plan.stutter?.moment == StutterMoment.SameWrite }
        when (val delivery = plan.delivery) {
            Delivery.Whole, Delivery.Early -> connection.write(reply, WritingKind.TRUE_ANSWER, joined)
            Delivery.NonsenseBefore -> {
                connection.write(nonsense, WritingKind.NONSENSE)
                connection.write(reply, WritingKind.TRUE_ANSWER, joined)
            }
            is Delivery.AfterInterim -> {
                connection.write(interimReply(delivery.status), WritingKind.INTERIM_ANSWER)
                connection.write(reply, WritingKind.TRUE_ANSWER, joined)
            }
            Delivery.NonsenseInstead -> connection.write(nonsense, WritingKind.NONSENSE, joined)
            is Delivery.CutShort -> connection.write(reply.cut(), WritingKind.TRUE_ANSWER)
            Delivery.Reset, Delivery.Mute, is Delivery.Lost ->
                joined?.let { connection.write(it, WritingKind.SECOND_ANSWER) }
        }
    }

    private fun writeSecondAnswer(
        life: ServerLife,
        connection: SoakConnection,
        plan: ArrivalPlan,
        second: Reply,
    ) = when (val moment = plan.stutter?.moment) {
        null, StutterMoment.SameWrite -> Unit
        StutterMoment.AtOnce -> connection.write(second, WritingKind.SECOND_ANSWER)
        StutterMoment.WithNextRequest -> connection.keepForNextRequest(second)
        is StutterMoment.Later ->
            life.after(moment.milliseconds) { connection.write(second, WritingKind.SECOND_ANSWER) }
    }

    /** Ends the connection as [plan] says; returns true if its next request may be read. */
    private fun goesOn(
        connection: SoakConnection,
        plan: ArrivalPlan,
    ): Boolean =
        when (val delivery = plan.delivery) {
            Delivery.Whole, Delivery.Early, Delivery.NonsenseBefore, is Delivery.AfterInterim -> !closes(plan)
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

    private fun closes(plan: ArrivalPlan): Boolean =
        plan.closesAfterwards || plan.framing == Framing.UNTIL_CLOSE || (isDraining && plan.stutter == null)

    private fun closingFields(plan: ArrivalPlan): List<String> =
        if (closes(plan) && plan.framing != Framing.UNTIL_CLOSE) listOf("Connection: close") else emptyList()

    private fun ServerOutcome.written(): ServerOutcome =
        when (this) {
            is ServerOutcome.Answered -> copy(wroteWhole = true)
            is ServerOutcome.Rejected -> this
        }

    /** What a server does with a request, and whose handle it has taken for it. */
    protected data class Admission(
        val verdict: Verdict,
        val handleOf: String? = null,
    )

    /** An answer with success and its body without framing. */
    protected data class SuccessReply(
        val reply: Reply,
        val body: String,
    )

    private data class TrueAnswer(
        val reply: Reply,
        val outcome: ServerOutcome,
    )

    private companion object {
        const val SLOTS = 8
        const val HEALTH_PATH = "/healthz"
        const val OK = 200
        const val MISDIRECTED = 421
        const val SERVER_ERROR = 500
        const val SERVICE_UNAVAILABLE = 503
        const val TIME_LIMIT = 504
    }
}
