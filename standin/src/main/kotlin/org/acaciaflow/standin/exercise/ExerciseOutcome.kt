package org.acaciaflow.standin.exercise

/** What one call of an exercise came to. */
internal sealed interface ExerciseOutcome {
    /** How the outcome is counted. */
    val label: String

    data object Right : ExerciseOutcome {
        override val label = "right"
    }

    /** A refusal, with what it says about execution. */
    data class Refused(
        val execution: String,
        val reason: String,
    ) : ExerciseOutcome {
        override val label = "refused $execution $reason"
    }

    /** The connection broke, so that the caller can tell that the answer is not whole. */
    data object Cut : ExerciseOutcome {
        override val label = "cut"
    }

    /** A whole answer that is not the right one. */
    data class Wrong(
        val fault: String,
    ) : ExerciseOutcome {
        override val label = "wrong"
    }
}
