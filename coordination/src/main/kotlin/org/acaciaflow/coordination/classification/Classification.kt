package org.acaciaflow.coordination.classification

import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.work.RequestProfile

/** Outcome of classifying a call: its profile, or why it is refused. */
sealed interface Classification {
    data class Classified(
        val profile: RequestProfile,
    ) : Classification

    data class Refused(
        val reason: NotRun,
    ) : Classification
}
