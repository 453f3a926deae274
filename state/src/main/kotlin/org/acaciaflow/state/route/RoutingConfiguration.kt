package org.acaciaflow.state.route

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.PoolName
import kotlin.time.Duration.Companion.seconds

/** All routes and services of one [version]; the routes of each host are sorted by prefix length, longest first. */
data class RoutingConfiguration(
    val version: Long,
    val routesByHost: PersistentMap<String, PersistentList<Route>>,
    val services: PersistentMap<PoolName, RoutedService>,
    val limits: CallerLimits,
) {
    /** False until a configuration has been loaded. */
    val known: Boolean
        get() = version != NO_VERSION

    companion object {
        /** Stands for the version until a configuration has been loaded. */
        const val NO_VERSION = -1L

        private const val DEFAULT_HEADER_BYTES = 16_384
        private const val DEFAULT_BODY_BYTES = 4_194_304L

        val NONE =
            RoutingConfiguration(
                version = NO_VERSION,
                routesByHost = persistentMapOf(),
                services = persistentMapOf(),
                limits = CallerLimits(DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, 3.seconds, 15.seconds),
            )
    }
}
