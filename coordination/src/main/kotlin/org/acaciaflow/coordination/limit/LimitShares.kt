package org.acaciaflow.coordination.limit

import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.HostAddress
import kotlin.math.ln
import kotlin.math.log2
import kotlin.math.pow
import kotlin.math.roundToInt

/**
 * Divides the limit of a backend server among the gateways, each of which computes its own part.
 *
 * Gateways that know the same demands compute parts that add up to the limit. At most `LEAST_SENDERS` and one more for
 * each `RATE_PER_SENDER` a second send at all. A gateway with part p keeps at most max(1, p x 1 s) tokens, so that from
 * limit L the server gets in any 4 s at most 4 L + L + (3 + L / 2) = 5.5 L + 3 requests, less than the 6 L + 5 allowed.
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

    private fun sendersOf(
        demands: PoolDemands,
        life: BackendLife,
        rate: Double,
    ): List<GatewayWeight> {
        val count = LEAST_SENDERS + (rate / RATE_PER_SENDER).coerceAtMost(demands.all.size.toDouble()).toInt()
        if (demands.all.size <= count) return demands.all
        if (demands.scarce.size <= count) return demands.scarce
        return demands.scarce.sortedBy { score(life, it) }.take(count)
    }

    /**
     * The score of a gateway in weighted rendezvous hashing; the lowest are chosen.
     *
     * Demands count by powers of two, so that small changes of demand do not change the choice.
     */
    private fun score(
        life: BackendLife,
        sender: GatewayWeight,
    ): Double = -ln(uniform(life, sender.gateway)) / coarse(sender.weight)

    private fun coarse(demand: Double): Double = 2.0.pow(log2(demand).roundToInt())

    /** Returns a number between 0 and 1 that every gateway computes alike from [life] and [gateway]. */
    private fun uniform(
        life: BackendLife,
        gateway: HostAddress,
    ): Double {
        val seed = (life.code.toLong() shl Int.SIZE_BITS) xor gateway.toString().hashCode().toLong()
        return ((mixed(seed) ushr UNUSED_BITS) + 0.5) / (1L shl (Long.SIZE_BITS - UNUSED_BITS))
    }

    /** The finalizer of SplitMix64. */
    private fun mixed(seed: Long): Long {
        val first = (seed xor (seed ushr 30)) * -0x40a7b892e31b1a47L
        val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
        return second xor (second ushr 31)
    }

    private const val LOWEST_RATE = 0.2
    private const val LEAST_SENDERS = 3
    private const val RATE_PER_SENDER = 2.0
    private const val UNUSED_BITS = 11 // of a long, so that the rest is exact as a double
}
