package org.acaciaflow.standin.exercise

/** Outcome of one call of an exercise. */
internal sealed interface ExerciseOutcome {
    /** Key under which the outcome is counted. */
    val label: String

    data object Right : ExerciseOutcome {
        override val label = "right"
    }

    /** A refusal, with its [execution] status and reason. */
    data class Refused(
        val execution: String,
        val reason: String,
    ) : ExerciseOutcome {
        override val label = "refused $execution $reason"
    }

    /** No complete answer: the connection broke, the call timed out or failed with an exception. */
    data object Cut : ExerciseOutcome {
        override val label = "cut"
    }

    /** A complete answer with the wrong content. */
    data class Wrong(
        val fault: String,
    ) : ExerciseOutcome {
        override val label = "wrong"
    }
}
