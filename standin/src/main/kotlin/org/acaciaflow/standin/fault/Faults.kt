package org.acaciaflow.standin.fault

import java.util.concurrent.atomic.AtomicReference

/**
 * How a stand-in is told to misbehave; each count is used up one call at a time.
 *
 * [delaySpreadMilliseconds] adds a random delay to each answer, so that answers cross.
 */
data class Faults(
    val down: Boolean = false,
    val delayMilliseconds: Long = 0,
    val delaySpreadMilliseconds: Long = 0,
    val answersToLose: Int = 0,
    val answersToCut: Int = 0,
)

/** The faults in force in one stand-in. */
class FaultSwitch {
    private val current = AtomicReference(Faults())

    val faults: Faults
        get() = current.get()

    fun set(faults: Faults) = current.set(faults)

    /** True when the answer of this call is to be lost after its effect. */
    fun takeLostAnswer(): Boolean = take({ it.answersToLose }) { it.copy(answersToLose = it.answersToLose - 1) }

    /** True when the answer of this call is to stop half way. */
    fun takeCutAnswer(): Boolean = take({ it.answersToCut }) { it.copy(answersToCut = it.answersToCut - 1) }

    private fun take(
        left: (Faults) -> Int,
        used: (Faults) -> Faults,
    ): Boolean {
        val before = current.getAndUpdate { if (left(it) > 0) used(it) else it }
        return left(before) > 0
    }
}
