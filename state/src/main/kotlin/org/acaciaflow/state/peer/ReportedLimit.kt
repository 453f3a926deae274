package org.acaciaflow.state.peer

import kotlin.time.Duration

/** What a backend server said [age] ago on its limit; [demand] is the sender's in requests a second for its pool. */
data class ReportedLimit(
    val lifeCode: Int,
    val word: ReportedLimitWord,
    val age: Duration,
    val demand: Double,
)

/** A word on a limit as it stands in a report. */
sealed interface ReportedLimitWord {
    data class Named(
        val perSecond: Double,
    ) : ReportedLimitWord

    data object Ended : ReportedLimitWord
}
