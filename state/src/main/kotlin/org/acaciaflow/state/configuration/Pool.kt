package org.acaciaflow.state.configuration

import org.acaciaflow.state.identity.PoolName

/** A pool of interchangeable backend servers. */
data class Pool(
    val name: PoolName,
    val nature: BackendNature,
)
