package org.acaciaflow.coordination.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.identity.HostAddress
import kotlin.time.Instant

/** The peers from which no newer configuration could be fetched, although they reported one. */
data class ConfigurationFetches(
    val failed: PersistentMap<HostAddress, FailedFetch>,
) {
    companion object {
        val NONE = ConfigurationFetches(persistentMapOf())
    }
}

/** Consecutive [failures] to fetch a configuration from a peer, which is not asked again before [retryAt]. */
data class FailedFetch(
    val failures: Int,
    val retryAt: Instant,
)
