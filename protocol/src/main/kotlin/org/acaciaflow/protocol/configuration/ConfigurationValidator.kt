package org.acaciaflow.protocol.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.configuration.ConfigurationFault
import org.acaciaflow.state.work.Rank

/** Lists every fault of a configuration document at once. */
object ConfigurationValidator {
    private val RANKS = Rank.entries.map { it.name.lowercase() }

    fun faults(document: ConfigurationDocument): PersistentList<ConfigurationFault> {
        val pools = document.pools.map { it.name }.toSet()
        return document.deployments
            .flatMap { deploymentFaults(it, pools) }
            .toPersistentList()
    }

    private fun deploymentFaults(
        deployment: DeploymentDocument,
        pools: Set<String>,
    ): List<ConfigurationFault> {
        val poolFaults =
            if (deployment.pool in pools) {
                emptyList()
            } else {
                listOf(ConfigurationFault.UnknownPool(deployment.name, deployment.pool))
            }
        return poolFaults + deployment.kinds.flatMap { kindFaults("${deployment.name}.${it.name}", it) }
    }

    private fun kindFaults(
        place: String,
        kind: WorkKindDocument,
    ): List<ConfigurationFault> =
        listOfNotNull(
            requireThat(kind.rank.lowercase() in RANKS, "$place.rank", kind.rank, RANKS.joinToString()),
            requireThat(kind.conditions.isNotEmpty(), "$place.conditions", "none", "at least one condition"),
            positive("$place.targetMilliseconds", kind.targetMilliseconds),
            positive("$place.deadlineMilliseconds", kind.deadlineMilliseconds),
            requireThat(kind.worth > 0, "$place.worth", kind.worth.toString(), "a number above 0"),
            windowFault(place, kind.repeatability),
        )

    private fun windowFault(
        place: String,
        repeatability: RepeatabilityDocument,
    ): ConfigurationFault? =
        when (repeatability) {
            is RepeatabilityDocument.ByContent ->
                positive(
                    "$place.windowMilliseconds",
                    repeatability.windowMilliseconds,
                )
            else -> null
        }

    private fun positive(
        field: String,
        value: Long,
    ): ConfigurationFault? = requireThat(value > 0, field, value.toString(), "milliseconds above 0")

    private fun requireThat(
        valid: Boolean,
        field: String,
        value: String,
        allowed: String,
    ): ConfigurationFault? = if (valid) null else ConfigurationFault.InvalidValue(field, value, allowed)
}
