package org.acaciaflow.coordination.selection

import org.acaciaflow.state.backend.BackendServer
import org.acaciaflow.state.work.RequestProfile
import kotlin.random.Random

/** How a backend server is chosen among those that have room. */
sealed interface SelectionPolicy {
    /** Sample a few servers and take the one with the least predicted work in progress. */
    data class LeastPredicted(
        val sampleSize: Int,
    ) : SelectionPolicy

    /** Fewest of this gateway's own outstanding attempts; a baseline for measurements. */
    data object LeastOutstanding : SelectionPolicy

    /** Any server with equal chance; a baseline for measurements. */
    data object Uniform : SelectionPolicy
}

/** Chooses one of [servers], which is not empty. */
fun select(
    policy: SelectionPolicy,
    servers: List<BackendServer>,
    profile: RequestProfile,
    random: Random,
): BackendServer =
    when (policy) {
        is SelectionPolicy.LeastPredicted -> {
            servers
                .shuffled(random)
                .take(policy.sampleSize)
                .minBy { predictedWork(it, profile) }
        }

        SelectionPolicy.LeastOutstanding -> servers.shuffled(random).minBy { it.outstanding.size }

        SelectionPolicy.Uniform -> servers.random(random)
    }

private fun predictedWork(
    server: BackendServer,
    profile: RequestProfile,
): Double {
    val ownUnits = server.outstanding.values.sumOf { it.units }
    val othersRunning = server.predictedRunning - server.outstanding.size
    return ownUnits + othersRunning * profile.estimate.units
}
