package org.acaciaflow.state.load

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.fleet.BackendLife
import kotlin.time.Instant

/**
 * Loads from the latest message of one sender.
 *
 * [senderStartedAt] and [sequence] order the messages of one sender. The loads describe the time [measuredAt]; the
 * message arrived at [receivedAt], by the local clock.
 */
data class LoadSource(
    val senderStartedAt: Long,
    val sequence: Long,
    val loads: PersistentMap<BackendLife, RemoteLoad>,
    val measuredAt: Instant,
    val receivedAt: Instant,
)
