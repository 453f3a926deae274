package org.acaciaflow.coordination.selection

import org.acaciaflow.state.backend.BackendServer
import org.acaciaflow.state.work.RequestProfile
import kotlin.random.Random

/** How a backend server is chosen among those with free capacity. */
sealed interface SelectionPolicy {
    /** Samples [sampleSize] servers and takes the one with the least predicted work in progress. */
    data class LeastPredicted(
        val sampleSize: Int,
    ) : SelectionPolicy

    /** Takes the server with the fewest outstanding attempts of this gateway; a baseline for measurements. */
    data object LeastOutstanding : SelectionPolicy

    /** Takes a random server with equal probability; a baseline for measurements. */
    data object Uniform : SelectionPolicy
}

/** Chooses one of [servers], which must not be empty. */
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
    val ownWork = server.outstanding.values.sumOf { it.units }
    val runningForOthers = server.predictedRunning - server.outstanding.size
    return ownWork + runningForOthers * profile.estimate.units
}
