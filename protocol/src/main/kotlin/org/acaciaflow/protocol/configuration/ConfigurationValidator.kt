package org.acaciaflow.protocol.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.configuration.ConfigurationFault
import org.acaciaflow.state.work.Rank

/** Checks a configuration document and reports all of its faults. */
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
        path: String,
        kind: WorkKindDocument,
    ): List<ConfigurationFault> =
        listOfNotNull(
            requireThat(kind.rank.lowercase() in RANKS, "$path.rank", kind.rank, RANKS.joinToString()),
            requireThat(kind.conditions.isNotEmpty(), "$path.conditions", "none", "at least one condition"),
            positive("$path.targetMilliseconds", kind.targetMilliseconds),
            positive("$path.deadlineMilliseconds", kind.deadlineMilliseconds),
            requireThat(kind.worth > 0, "$path.worth", kind.worth.toString(), "a number above 0"),
            windowFault(path, kind.repeatability),
        )

    private fun windowFault(
        path: String,
        repeatability: RepeatabilityDocument,
    ): ConfigurationFault? =
        when (repeatability) {
            is RepeatabilityDocument.ByContent ->
                positive(
                    "$path.windowMilliseconds",
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
