package org.acaciaflow.coordination.configuration

import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.state.table.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Decides whether to request a configuration from a peer that has a newer revision. */
object ConfigurationPullPolicy {
    /**
     * Returns true if [revision] is to be requested at [now]: it is above [ownRevision] and was not requested recently.
     *
     * A revision does not depend on requests for higher ones, which may never be answered.
     */
    fun request(
        pulls: ConfigurationPulls,
        revision: Long,
        ownRevision: Long,
        now: Instant,
    ): Transition<ConfigurationPulls, Boolean> {
        val recent =
            pulls.requestedAt
                .filter { it.key > ownRevision && now - it.value < RETRY_INTERVAL }
                .toPersistentMap()
        if (revision <= ownRevision || revision in recent) return Transition(ConfigurationPulls(recent), false)
        return Transition(ConfigurationPulls(recent.put(revision, now)), true)
    }

    private val RETRY_INTERVAL: Duration = 2.seconds
}
