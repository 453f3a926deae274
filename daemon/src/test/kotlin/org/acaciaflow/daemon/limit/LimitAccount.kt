package org.acaciaflow.daemon.limit

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** A request that [machine] sent to a server. */
internal data class LimitArrival(
    val machine: String,
    val atMilliseconds: Long,
)

/** An answer of a server to [machine], which names [limit] requests a second; null if it names no limit. */
internal data class LimitAnswer(
    val machine: String,
    val atMilliseconds: Long,
    val limit: Double?,
)

/** What one server has got and said, in the order of time. */
internal data class LimitEntries(
    val arrivals: ImmutableList<LimitArrival>,
    val answers: ImmutableList<LimitAnswer>,
)

/** Records what one server gets and says. The times of answers are those at which the server wrote them. */
internal class LimitAccount {
    private val arrivals = mutableListOf<LimitArrival>()
    private val answers = mutableListOf<LimitAnswer>()

    @Synchronized
    fun arrived(arrival: LimitArrival) {
        arrivals += arrival
    }

    @Synchronized
    fun answered(answer: LimitAnswer) {
        answers += answer
    }

    @Synchronized
    fun snapshot(): LimitEntries =
        LimitEntries(
            arrivals.sortedBy { it.atMilliseconds }.toImmutableList(),
            answers.sortedBy { it.atMilliseconds }.toImmutableList(),
        )
}
