package org.acaciaflow.coordination.engine

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.load.MeanPrefill

/** Learns how much prefill the requests of each route need on average. */
object MeanPrefills {
    /** Adds a request of [route] that needs a prefill of [tokens], whether it is served or refused. */
    fun withSample(
        means: PersistentMap<RouteName, MeanPrefill>,
        route: RouteName,
        tokens: Double,
    ): PersistentMap<RouteName, MeanPrefill> {
        val kept = if (route in means || means.size < MAXIMUM_ROUTES) means else means.clear()
        val known = kept[route] ?: return kept.put(route, MeanPrefill(tokens, samples = 1))
        val samples = (known.samples + 1).coerceAtMost(MAXIMUM_SAMPLES)
        return kept.put(route, MeanPrefill(known.tokens + (tokens - known.tokens) / samples, samples))
    }

    private const val MAXIMUM_SAMPLES = 200
    private const val MAXIMUM_ROUTES = 10_000 // clearing the table at this size drops routes that no longer exist
}
