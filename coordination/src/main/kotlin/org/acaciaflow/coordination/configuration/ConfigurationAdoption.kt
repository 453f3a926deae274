package org.acaciaflow.coordination.configuration

import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.table.Transition

/** Decides whether a process adopts a configuration that it was offered. */
object ConfigurationAdoption {
    /** Adopts [offered] only when its revision is higher, so that a process never reverts to an older configuration. */
    fun adopt(
        current: Configuration,
        offered: Configuration,
    ): Transition<Configuration, AdoptionOutcome> =
        when {
            offered.revision > current.revision -> Transition(offered, AdoptionOutcome.ADOPTED)
            offered.revision == current.revision -> Transition(current, AdoptionOutcome.SAME)
            else -> Transition(current, AdoptionOutcome.OLDER)
        }
}

/** Outcome of offering a configuration to a process. */
enum class AdoptionOutcome {
    ADOPTED,
    SAME,
    OLDER,
}
