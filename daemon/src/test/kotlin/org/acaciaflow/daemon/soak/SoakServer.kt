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
        val drawn = mix.draw(run.randomFor(stamp)).limitedTo(timeLimitOf(head))
        val admission = admissionOf(head, drawn)
        val plan = drawn.copy(verdict = admission.verdict).closing(isDraining)
        val arrival = arrival(connection, stamp, head, admission)
        run.account.planned(stamp, plan)
        val writer = AnswerWriter(life, connection, plan)
        val isEarly = plan.delivery == Delivery.Early && answersEarly(arrival, plan)
        if (isEarly) answer(connection, arrival, plan, writer)
        val body = connection.reader.readBody(head)
        val whole = arrival.copy(body = body.text, bodyIsWhole = body.isWhole, atMilliseconds = run.clock())
        run.account.arrived(whole)
        if (!body.isWhole) return false
        if (!isEarly) answer(connection, whole, plan, writer)
        return writer.goesOn()
    }

    private fun timeLimitOf(head: RequestHead): Long =
        head.field("Deadline-Ms")?.toLongOrNull() ?: DEFAULT_LIMIT_MILLISECONDS

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
        plan: ArrivalPlan,
    ): Boolean = plan.verdict != Verdict.Success || answersWithoutBody(arrival.purpose)

    /** Works on [arrival] and answers it as [plan] says; its outcome is recorded before the first byte is written. */
    private fun answer(
        connection: SoakConnection,
        arrival: ServerArrival,
        plan: ArrivalPlan,
        writer: AnswerWriter,
    ) {
        val success = success(arrival, plan)
        val truth = trueAnswer(arrival, plan, success)
        val second = plan.stutter?.let { secondAnswer(it.content, arrival, plan, truth.reply, success) }
        run.account.ended(arrival.stamp, truth.outcome)
        if (second != null) writer.planSecondAnswer(second)
        Thread.sleep(plan.workMilliseconds + plan.verdict.extraMilliseconds)
        if (plan.verdict == Verdict.Success) succeeded(arrival)
        connection.writeKept()
        writer.writeTrueAnswer(truth.reply, second)
        if (plan.delivery.writesWhole) run.account.ended(arrival.stamp, truth.outcome.written())
        if (second != null) writer.writeSecondAnswer(second)
    }

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

    private companion object {
        const val SLOTS = 8
        const val DEFAULT_LIMIT_MILLISECONDS = 1_000L
        const val HEALTH_PATH = "/healthz"
        const val OK = 200
        const val SERVICE_UNAVAILABLE = 503
    }
}
