package org.acaciaflow.standin.exercise

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** All sends of an exercise, and how often the services executed each identity. */
internal class ExerciseReport(
    private val sends: List<ExerciseSend>,
    private val executions: Map<String, Int>,
) {
    /** What must never happen and did. */
    fun breaches(): PersistentList<String> =
        (wrongAnswers() + repeatedExecutions() + brokenPromises() + lostAnswers()).toPersistentList()

    /** How often each outcome occurred. */
    fun counts(): Map<String, Int> = sends.groupingBy { it.outcome.label }.eachCount().toSortedMap()

    private fun wrongAnswers(): List<String> =
        sends.mapNotNull { send -> (send.outcome as? ExerciseOutcome.Wrong)?.let { "${send.kind}: ${it.fault}" } }

    private fun repeatedExecutions(): List<String> =
        executions.filterValues { it > 1 }.map { "${it.key} executed ${it.value} times" }

    /** Identities of which every send was told that the request was not run, though it was. */
    private fun brokenPromises(): List<String> =
        sends
            .filter { it.identity != null }
            .groupBy { it.identity }
            .filterValues { all -> all.all { isNotRun(it.outcome) } }
            .keys
            .filter { it in executions }
            .map { "$it was told not run and ran" }

    private fun lostAnswers(): List<String> =
        sends
            .filter { it.identity != null && it.outcome == ExerciseOutcome.Right && it.identity !in executions }
            .map { "${it.identity} was answered and never ran" }

    private fun isNotRun(outcome: ExerciseOutcome): Boolean =
        outcome is ExerciseOutcome.Refused && outcome.execution == NOT_RUN

    private companion object {
        const val NOT_RUN = "not-run"
    }
}

/** One send of a call; [identity] is set when the call must not repeat. */
internal data class ExerciseSend(
    val kind: String,
    val identity: String?,
    val outcome: ExerciseOutcome,
)
