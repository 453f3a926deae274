package org.acaciaflow.standin.fault

import java.util.concurrent.atomic.AtomicReference

/**
 * Faults to inject into a stand-in. Each affected answer decrements [answersToLose] or [answersToTruncate].
 *
 * [delaySpreadMilliseconds] is the upper bound of a random delay, which makes answers arrive out of order.
 */
data class Faults(
    val down: Boolean = false,
    val delayMilliseconds: Long = 0,
    val delaySpreadMilliseconds: Long = 0,
    val answersToLose: Int = 0,
    val answersToTruncate: Int = 0,
)

/** The faults that are currently injected into one stand-in. */
class FaultSwitch {
    private val current = AtomicReference(Faults())

    val faults: Faults
        get() = current.get()

    fun set(faults: Faults) = current.set(faults)

    /** True when the answer to this call must be dropped after the call took effect; counts it. */
    fun consumeLostAnswer(): Boolean = consume({ it.answersToLose }) { it.copy(answersToLose = it.answersToLose - 1) }

    /** True when the answer to this call must be truncated; counts it. */
    fun consumeTruncatedAnswer(): Boolean =
        consume({ it.answersToTruncate }) { it.copy(answersToTruncate = it.answersToTruncate - 1) }

    private fun consume(
        remaining: (Faults) -> Int,
        decremented: (Faults) -> Faults,
    ): Boolean {
        val before = current.getAndUpdate { if (remaining(it) > 0) decremented(it) else it }
        return remaining(before) > 0
    }
}
