package org.acaciaflow.daemon.soak

/** What an engine is for; [text] is its name in the store. */
internal enum class EngineStage(
    val text: String,
) {
    PREFILL("prefill"),
    DECODE("decode"),
}

/** An engine of the service [service] that prefills or runs, as [stage] says. */
internal class EngineSoakServer(
    instance: String,
    private val service: String,
    private val stage: EngineStage,
    run: SoakRun,
    mix: FaultMix = FaultMix.SOUND,
    born: Long = System.currentTimeMillis(),
) : SoakServer(instance, run, mix, born) {
    override fun ownFields(): String =
        """"service":"$service","version":"v1","stage":"${stage.text}","models":[$MODEL]"""

    override fun controlReply(head: RequestHead): Reply? =
        when {
            head.target == "/-/report" -> reply(OK, null, null, report(), JSON)
            head.method == "DELETE" && head.target.startsWith(HANDLE_PATH) -> release(head)
            else -> null
        }

    override fun admit(
        head: RequestHead,
        plan: ArrivalPlan,
    ): Admission {
        val asked = if (head.field("Serving-Stage") == null) EngineStage.DECODE else EngineStage.PREFILL
        val source = head.field("Kv-Source")
        return when {
            asked != stage -> Admission(Verdict.Misdirected)
            source == null || plan.verdict is Verdict.Refusal -> Admission(plan.verdict)
            else -> admitFrom(source, plan)
        }
    }

    override fun success(
        arrival: ServerArrival,
        plan: ArrivalPlan,
    ): SuccessReply =
        when (arrival.purpose) {
            ArrivalPurpose.RUN -> {
                val events = eventsOf(arrival)
                val stream = streamReply(arrival.requestId, arrival.stamp, events, plan.closingFields)
                SuccessReply(stream, events.joinToString(""))
            }
            ArrivalPurpose.PREFILL -> {
                val body = """{"kv_handle":"${handleOf(arrival.stamp)}","tokens":$TOKENS,"version":1}"""
                val fields = JSON + plan.closingFields
                SuccessReply(reply(OK, arrival.requestId, arrival.stamp, body, fields, plan.framing), body)
            }
        }

    override fun succeeded(arrival: ServerArrival) {
        if (arrival.purpose == ArrivalPurpose.RUN) return
        run.handles.keep("$address/${handleOf(arrival.stamp)}", arrival.requestId, run.clock())
    }

    override fun answersWithoutBody(purpose: ArrivalPurpose): Boolean = purpose == ArrivalPurpose.PREFILL

    /** Takes the handle [source], unless its engine has lost it: a run without it has not begun. */
    private fun admitFrom(
        source: String,
        plan: ArrivalPlan,
    ): Admission {
        val requestId = run.handles.take(source, run.clock())
        if (requestId == null || plan.losesHandle) return Admission(Verdict.Refusal(retryAfterSeconds = null))
        return Admission(plan.verdict, requestId)
    }

    private fun release(head: RequestHead): Reply {
        run.handles.take("$address/${head.target.removePrefix(HANDLE_PATH)}", run.clock())
        return reply(OK, null, null, "")
    }

    private fun report(): String =
        """{"stage":"${stage.text}","models":[$MODEL],"busy":false,"sequence":1,"queued":0,"running":0,""" +
            """"kv_used":0,"kv_total":90000,"kv_handles":${run.handles.count(address, run.clock())}}"""

    private fun handleOf(stamp: String): String = stamp.replace('.', '-')

    private companion object {
        const val OK = 200
        const val TOKENS = 100
        const val HANDLE_PATH = "/-/kv-handle/"
        const val MODEL = """{"name":"m","version":1,"adapters":[]}"""
        val JSON = listOf("Content-Type: application/json")
    }
}
