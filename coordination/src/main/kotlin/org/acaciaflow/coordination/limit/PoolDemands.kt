package org.acaciaflow.coordination.limit

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.limit.DeclaredDemand
import org.acaciaflow.state.limit.ServerLimits
import org.acaciaflow.state.retry.RetryWindow
import kotlin.time.Instant

/** The [weight] of [gateway] among those that share a limit; [number] stands for it where some are chosen. */
data class GatewayWeight(
    val gateway: HostAddress,
    val weight: Double,
    val number: Int = gateway.ip.hashCode() * 31 + gateway.port,
)

/**
 * The demands for one pool at all gateways, as the gateway [self] knows them.
 *
 * [all] holds every gateway. [scarce] holds those that may be chosen where a limit is too small for all of them.
 */
data class PoolDemands(
    val self: HostAddress,
    val all: PersistentList<GatewayWeight>,
    val scarce: PersistentList<GatewayWeight>,
) {
    companion object {
        /**
         * Returns the demands for [pool] at [self] and the other gateways in [known].
         *
         * A gateway that has not reported a demand counts with the mean of the others, also [self]. Gateways of little
         * demand count with a quarter of the mean where all share, so that each can send a request now and then.
         */
        fun of(
            limits: ServerLimits,
            pool: PoolName,
            self: HostAddress,
            known: Set<HostAddress>,
        ): PoolDemands {
            val own = limits.declared[pool]?.let { minOf(it.latest, it.previous) }
            val others = (known - self).map { it to limits.peerDemands[it]?.get(pool) }
            val demands = others + (self to own)
            val stated = demands.mapNotNull { it.second }
            val mean = if (stated.isEmpty()) 0.0 else stated.average()
            if (mean <= 0.0) {
                val equal = demands.map { GatewayWeight(it.first, weight = 1.0) }.toPersistentList()
                return PoolDemands(self, equal, equal)
            }
            val least = mean * LEAST_SHARE_OF_MEAN
            val weights = demands.map { (gateway, demand) -> GatewayWeight(gateway, demand ?: mean) }
            return PoolDemands(
                self = self,
                all = weights.map { it.copy(weight = maxOf(it.weight, least)) }.toPersistentList(),
                scarce = weights.filter { it.weight >= least }.toPersistentList(),
            )
        }

        /**
         * Returns the requests a second that [window] has counted lately, as of [now].
         *
         * The fewer there are, the longer the time that counts, so that chance does not decide who has demand.
         */
        fun measured(
            window: RetryWindow?,
            now: Instant,
        ): Double {
            if (window == null) return 0.0
            val second = now.epochSeconds
            var requests = window.requests[second] ?: 0
            for (whole in 1..LONGEST_SECONDS) {
                requests += window.requests[second - whole] ?: 0
                val isEnough = whole >= SHORTEST_SECONDS && requests >= ENOUGH_REQUESTS
                if (isEnough || whole == LONGEST_SECONDS) {
                    return requests / (whole + now.nanosecondsOfSecond / NANOSECONDS_PER_SECOND)
                }
            }
            return 0.0
        }

        /** Returns the demand to report next, [measured] requests a second, after [former]. */
        fun declared(
            former: DeclaredDemand?,
            measured: Double,
        ): DeclaredDemand = DeclaredDemand(latest = measured, previous = former?.latest ?: measured)

        private const val LEAST_SHARE_OF_MEAN = 0.25
        private const val SHORTEST_SECONDS = 2
        private const val LONGEST_SECONDS = 9 // the retry windows keep the requests of ten seconds
        private const val ENOUGH_REQUESTS = 12
        private const val NANOSECONDS_PER_SECOND = 1e9
    }
}
