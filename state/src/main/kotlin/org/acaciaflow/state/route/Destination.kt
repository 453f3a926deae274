package org.acaciaflow.state.route

import org.acaciaflow.state.identity.PoolName

/** A pool that gets the share [weight] of a route's requests, relative to the weights of its other destinations. */
data class Destination(
    val pool: PoolName,
    val weight: Int,
)
