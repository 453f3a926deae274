package org.acaciaflow.state.stream

import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
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

/** Streams of a host that have no record began in [pool], or none has if it is null. */
data class HostBase(
    val pool: PoolName?,
    override val era: StoreEra,
) : StreamBase
