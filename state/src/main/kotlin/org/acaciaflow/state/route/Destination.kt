package org.acaciaflow.state.route

import org.acaciaflow.state.identity.PoolName

/** A pool that receives a share of a route's requests, in proportion to its [weight] among all destinations. */
data class Destination(
    val pool: PoolName,
    val weight: Int,
)
