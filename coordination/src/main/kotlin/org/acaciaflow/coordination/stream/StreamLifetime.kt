package org.acaciaflow.coordination.stream

import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.RoutingConfiguration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** How long after its start a stream may be taken up. */
internal object StreamLifetime {
    /** The longest time limit of a stream in [configuration], with a margin for retries near its end. */
    fun of(configuration: RoutingConfiguration): Duration {
        if (!configuration.known) return BEFORE_CONFIGURATION
        val longest =
            configuration.routesByHost.values
                .flatten()
                .filter { it.kind is RequestKind.EventStream }
                .maxOfOrNull { it.timeout } ?: Duration.ZERO
        return (longest + MARGIN).coerceAtMost(LONGEST)
    }

    private val MARGIN: Duration = 10.seconds
    private val BEFORE_CONFIGURATION: Duration = 1.minutes
    private val LONGEST: Duration = 5.minutes // a lease lasts for two lifetimes, and ten minutes at most
}
