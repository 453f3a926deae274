package org.acaciaflow.state.suspect

import kotlinx.collections.immutable.PersistentSet
import org.acaciaflow.state.identity.AttemptIdentity
import kotlin.time.Instant

/** [crashes] are the attempts during which an engine crashed; [lastCrashAt] starts the quarantine. */
data class CrashSuspect(
    val crashes: PersistentSet<AttemptIdentity>,
    val lastCrashAt: Instant,
)
