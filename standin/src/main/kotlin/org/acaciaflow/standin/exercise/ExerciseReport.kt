package org.acaciaflow.standin.exercise

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/** Checks the outcomes of an exercise against the execution counts of the services. */
internal class ExerciseReport(
    private val sends: List<ExerciseSend>,
    private val executions: Map<String, Int>,
) {
    /** Violations of the delivery guarantees, one message each. */
    fun breaches(): PersistentList<String> =
        (wrongAnswers() + repeatedExecutions() + falseNotRunRefusals() + answersWithoutExecution()).toPersistentList()

    /** Number of sends by outcome label. */
    fun counts(): Map<String, Int> = sends.groupingBy { it.outcome.label }.eachCount().toSortedMap()

    private fun wrongAnswers(): List<String> =
        sends.mapNotNull { send -> (send.outcome as? ExerciseOutcome.Wrong)?.let { "${send.kind}: ${it.fault}" } }

    private fun repeatedExecutions(): List<String> =
        executions.filterValues { it > 1 }.map { "${it.key} executed ${it.value} times" }

    /** Identities that were executed although every send was refused as not run. */
    private fun falseNotRunRefusals(): List<String> =
        sends
            .filter { it.identity != null }
            .groupBy { it.identity }
            .filterValues { all -> all.all { isNotRun(it.outcome) } }
            .keys
            .filter { it in executions }
            .map { "$it ran although the answers to all its sends said not-run" }

    private fun answersWithoutExecution(): List<String> =
        sends
            .filter { it.identity != null && it.outcome == ExerciseOutcome.Right && it.identity !in executions }
            .map { "${it.identity} was answered but never ran" }

    private fun isNotRun(outcome: ExerciseOutcome): Boolean =
        outcome is ExerciseOutcome.Refused && outcome.execution == NOT_RUN

    private companion object {
        const val NOT_RUN = "not-run"
    }
}

/** One send of a call; [identity] is set for a call that must be executed at most once. */
internal data class ExerciseSend(
    val kind: String,
    val identity: String?,
    val outcome: ExerciseOutcome,
)
