package org.acaciaflow.coordination.configuration

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Instant

/** The configuration revisions that were recently requested from peers, each with the time of the request. */
data class ConfigurationPulls(
    val requestedAt: PersistentMap<Long, Instant>,
) {
    companion object {
        val NONE = ConfigurationPulls(persistentMapOf())
    }
}
