package org.acaciaflow.standin.engine

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.json.Json

/** Takes orders to change role, model, adapters or version; each change takes some seconds. */
internal class EngineOrders(
    private val vertx: Vertx,
    private val profile: EngineProfile,
    private val checksFencing: Boolean,
) {
    private var state =
        EngineStateDocument(
            role = "mixed",
            model = "base",
            version = "1",
            adapters = emptyList(),
            fencing = 0,
            changing = false,
            ordersTaken = 0,
            conflictingOrders = 0,
        )

    val role: String
        get() = state.role

    val changing: Boolean
        get() = state.changing

    fun describe(): String = Json.encodeToString(EngineStateDocument.serializer(), state)

    fun take(context: RoutingContext) {
        val order = Json.decodeFromString(EngineOrderDocument.serializer(), context.body().asString())
        if (checksFencing && order.fencing < state.fencing) {
            return context
                .response()
                .setStatusCode(CONFLICT)
                .end(describe())
                .let { }
        }
        val conflicting = state.changing || order.fencing < state.fencing
        state =
            state.copy(
                role = order.role,
                model = order.model,
                version = order.version,
                adapters = order.adapters,
                fencing = order.fencing,
                changing = true,
                ordersTaken = state.ordersTaken + 1,
                conflictingOrders = state.conflictingOrders + if (conflicting) 1 else 0,
            )
        vertx.setTimer(profile.roleChange.inWholeMilliseconds) { state = state.copy(changing = false) }
        context.response().setStatusCode(ACCEPTED).end(describe())
    }

    private companion object {
        const val ACCEPTED = 202
        const val CONFLICT = 409
    }
}
