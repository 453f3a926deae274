package org.acaciaflow.state.suspect

import kotlinx.collections.immutable.PersistentSet
import org.acaciaflow.state.identity.AttemptIdentity
import kotlin.time.Instant

/**
 * A request that was in flight when an engine crashed.
 *
 * [crashes] holds the attempts during which an engine crashed; the quarantine runs from [lastCrashAt].
 */
data class CrashSuspect(
    val crashes: PersistentSet<AttemptIdentity>,
    val lastCrashAt: Instant,
)
