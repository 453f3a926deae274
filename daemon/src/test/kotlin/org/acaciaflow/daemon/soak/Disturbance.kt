package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlin.random.Random

/** Something that happens during a soak from outside its gateways; gateways and servers are given by their number. */
internal sealed interface Disturbance {
    /** The gateway stands still for [milliseconds]. */
    data class PauseGateway(
        val gateway: Int,
        val milliseconds: Long,
    ) : Disturbance

    /** The gateway is told to stop (SIGTERM) and started again. */
    data class StopGateway(
        val gateway: Int,
    ) : Disturbance

    /** The gateway is killed and started again. */
    data class KillGateway(
        val gateway: Int,
    ) : Disturbance

    /** The server crashes and is back [milliseconds] later, with its id and address. */
    data class RestartServer(
        val server: Int,
        val milliseconds: Long,
    ) : Disturbance

    /** The server says that it leaves, serves for [milliseconds] more, ends, and starts again. */
    data class DrainServer(
        val server: Int,
        val milliseconds: Long,
    ) : Disturbance

    /** The operator writes the next version of the configuration. */
    data object Reconfigure : Disturbance

    /** The store refuses all reads and watches for [milliseconds]. */
    data class RefuseAtStore(
        val milliseconds: Long,
    ) : Disturbance

    /**
     * The store returns to a copy that is [ageMilliseconds] old, cut off from the gateways for [cutMilliseconds].
     *
     * What the operator and the servers wrote since is written again, in an order drawn from [seed], during the cut.
     */
    data class ReturnStore(
        val ageMilliseconds: Long,
        val cutMilliseconds: Long,
        val seed: Long,
    ) : Disturbance
}

/** A disturbance and when it begins, in milliseconds since the start of the calls. */
internal data class TimedDisturbance(
    val atMilliseconds: Long,
    val disturbance: Disturbance,
)

/** Draws the disturbances of a soak of [milliseconds]; they may overlap. */
internal fun drawDisturbances(
    random: Random,
    milliseconds: Long,
    gateways: Int,
    servers: Int,
): ImmutableList<TimedDisturbance> =
    generateSequence(
        FIRST_AT_MILLISECONDS,
    ) { it + random.nextLong(SHORTEST_GAP_MILLISECONDS, LONGEST_GAP_MILLISECONDS) }
        .takeWhile { it < milliseconds }
        .map { TimedDisturbance(it, draw(random, random.nextInt(gateways), random.nextInt(servers))) }
        .toImmutableList()

private fun draw(
    random: Random,
    gateway: Int,
    server: Int,
): Disturbance {
    val short = random.nextLong(SHORT_MILLISECONDS)
    val long = random.nextLong(SHORT_MILLISECONDS, LONG_MILLISECONDS)
    return when (random.nextInt(WEIGHTS)) {
        0 -> Disturbance.StopGateway(gateway)
        1 -> Disturbance.KillGateway(gateway)
        2 -> Disturbance.RestartServer(server, long)
        3 -> Disturbance.DrainServer(server, long)
        4 -> Disturbance.Reconfigure
        5 -> Disturbance.RefuseAtStore(long)
        6 -> Disturbance.PauseGateway(gateway, long)
        7 -> Disturbance.ReturnStore(long, short, random.nextLong())
        else -> Disturbance.PauseGateway(gateway, short)
    }
}

private const val FIRST_AT_MILLISECONDS = 1_000L
private const val SHORTEST_GAP_MILLISECONDS = 100L
private const val LONGEST_GAP_MILLISECONDS = 1_300L
private const val SHORT_MILLISECONDS = 700L
private const val LONG_MILLISECONDS = 2_000L
private const val WEIGHTS = 10
