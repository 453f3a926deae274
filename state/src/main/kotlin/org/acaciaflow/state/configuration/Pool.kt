package org.acaciaflow.state.configuration

import org.acaciaflow.state.identity.PoolName

/** A group of interchangeable backend servers of one nature. */
data class Pool(
    val name: PoolName,
    val nature: BackendNature,
)
