package org.acaciaflow.standin.fault

import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext

/** Adds `POST /standin/faults?down=&delay=&spread=&lose=&cut=`, which replaces the injected faults. */
fun Router.addFaultRoutes(switch: FaultSwitch) {
    post("/standin/faults").handler { context ->
        switch.set(
            Faults(
                down = context.parameter("down") == "true",
                delayMilliseconds = context.parameter("delay")?.toLong() ?: 0,
                delaySpreadMilliseconds = context.parameter("spread")?.toLong() ?: 0,
                answersToLose = context.parameter("lose")?.toInt() ?: 0,
                answersToTruncate = context.parameter("cut")?.toInt() ?: 0,
            ),
        )
        context.end("set\n")
    }
}

private fun RoutingContext.parameter(name: String): String? = queryParam(name).firstOrNull()
