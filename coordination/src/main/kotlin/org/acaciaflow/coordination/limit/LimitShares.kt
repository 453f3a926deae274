package org.acaciaflow.coordination.limit

import org.acaciaflow.state.fleet.BackendLife

/**
 * Divides the limit of a backend server among the gateways, each of which computes its own part.
 *
 * Gateways that know the same demands compute parts that add up to the limit. Of a limit L at most 1 + L gateways have a
 * part. A gateway with part p keeps at most max(1, p x 0.5 s) tokens, so that the server gets in any 4 s at most
 * 4 L + L / 2 + (1 + L) = 5.5 L + 1 requests. 6 L + 5 are allowed; the rest is for gateways that know different demands.
 */
object LimitShares {
    /** Returns the requests a second that the gateway with [demands] may send of the [limit] of [life]. */
    fun part(
        demands: PoolDemands,
        life: BackendLife,
        limit: Double,
    ): Double {
        val rate = usedRate(limit)
        if (demands.all.size == 1) return rate
        val senders = sendersOf(demands, life, rate)
        val own = senders.firstOrNull { it.gateway == demands.self } ?: return 0.0
        return rate * own.weight / senders.sumOf { it.weight }
    }

    /**
     * The rate used for [limit]. A server with a lower one still gets a request now and then, whose answer tells
     * whether the limit still holds.
     */
    fun usedRate(limit: Double): Double = maxOf(limit, LOWEST_RATE)

    /**
     * Returns the gateways that share [rate], all of them if each can have one request a second; empty if [demands] are
     * those of a gateway that is not among them.
     *
     * They are chosen by rendezvous hashing, so that few change when a gateway comes or goes.
     */
    private fun sendersOf(
        demands: PoolDemands,
        life: BackendLife,
        rate: Double,
    ): List<GatewayWeight> {
        val count = 1 + (rate / RATE_PER_SENDER).coerceAtMost(demands.all.size.toDouble()).toInt()
        if (demands.all.size <= count) return demands.all
        if (demands.scarce.size <= count) return demands.scarce
        val own = demands.scarce.firstOrNull { it.gateway == demands.self } ?: return emptyList()
        val code = life.code
        val ownScore = score(code, own)
        if (demands.scarce.count { score(code, it) < ownScore } >= count) return emptyList()
        return demands.scarce
            .map { score(code, it) to it }
            .sortedBy { it.first }
            .take(count)
            .map { it.second }
    }

    /** A number that every gateway computes alike for [gateway] and the server with [lifeCode]; the lowest are chosen. */
    private fun score(
        lifeCode: Int,
        gateway: GatewayWeight,
    ): Long = mixed((lifeCode.toLong() shl Int.SIZE_BITS) xor (gateway.number.toLong() and LOW_BITS))

    /** The finalizer of SplitMix64. */
    private fun mixed(seed: Long): Long {
        val first = (seed xor (seed ushr 30)) * -0x40a7b892e31b1a47L
        val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
        return second xor (second ushr 31)
    }

    private const val LOWEST_RATE = 0.4
    private const val RATE_PER_SENDER = 1.0
    private const val LOW_BITS = 0xffff_ffffL
}
