package org.acaciaflow.standin.engine

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.json.Json
import org.acaciaflow.protocol.engine.EngineOrderDocument
import org.acaciaflow.protocol.engine.EngineReportDocument
import org.acaciaflow.protocol.plan.EngineStateDocument
import org.acaciaflow.standin.fault.FaultSwitch
import org.acaciaflow.state.backend.EngineRole

/** Accepts orders to change role, model, adapters or version; a change takes [EngineProfile.roleChange]. */
internal class EngineOrders(
    private val vertx: Vertx,
    private val profile: EngineProfile,
    private val checksFencing: Boolean,
    private val faults: FaultSwitch,
) {
    private var report = EngineReportDocument(INITIAL, changing = false, fencing = 0)

    val role: String
        get() =
            report.state.role.name
                .lowercase()

    val changing: Boolean
        get() = report.changing

    fun reportJson(): String = Json.encodeToString(EngineReportDocument.serializer(), report)

    /** Resets the state and drops a change in progress, as an engine restart does. */
    fun restart() {
        report = report.copy(state = INITIAL, changing = false)
    }

    fun accept(context: RoutingContext) {
        val order = Json.decodeFromString(EngineOrderDocument.serializer(), context.body().asString())
        if (checksFencing && order.fencing < report.fencing) {
            return context
                .response()
                .setStatusCode(CONFLICT)
                .end(reportJson())
                .let { }
        }
        val conflicting = report.changing || order.fencing < report.fencing
        val conflicts = report.conflictingOrders + if (conflicting) 1 else 0
        report = EngineReportDocument(report.state, changing = true, order.fencing, report.ordersTaken + 1, conflicts)
        val number = report.ordersTaken
        vertx.setTimer(profile.roleChange.inWholeMilliseconds) { complete(order, number) }
        if (faults.consumeLostAnswer()) {
            return context
                .request()
                .connection()
                .close()
                .let { }
        }
        context.response().setStatusCode(ACCEPTED).end(reportJson())
    }

    private fun complete(
        order: EngineOrderDocument,
        number: Int,
    ) {
        if (report.changing && report.ordersTaken == number) {
            report = report.copy(state = order.desired, changing = false)
        }
    }

    private companion object {
        const val ACCEPTED = 202
        const val CONFLICT = 409
        val INITIAL = EngineStateDocument(EngineRole.MIXED, model = "base", version = "1")
    }
}
