package org.acaciaflow.state.stream

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.route.Destination
import org.acaciaflow.state.store.StoreEra

/**
 * What the store says of streams that have no record.
 *
 * It was written in [era]; a copy that the store returned from has bases of earlier eras.
 */
sealed interface StreamBase {
    val era: StoreEra
}

/** Streams of a pool that have no record began at [version], or none has if it is null. */
data class PoolBase(
    val version: SoftwareVersion?,
    override val era: StoreEra,
) : StreamBase

/** Streams of a host that have no record began where [routes] led them, or none has if it is null. */
data class HostBase(
    val routes: PersistentList<StreamRoute>?,
    override val era: StoreEra,
) : StreamBase

/**
 * Led streams whose path begins with [prefix] to [destinations]; none if they could not be taken up.
 *
 * Of several routes the one with the longest prefix counts, which comes first.
 */
data class StreamRoute(
    val prefix: String,
    val destinations: PersistentList<Destination>,
)
