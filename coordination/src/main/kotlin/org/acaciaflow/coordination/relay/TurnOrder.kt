package org.acaciaflow.coordination.relay

import kotlin.time.Instant

/** The order in which waiting requests start. */
internal object TurnOrder {
    /**
     * Returns the order at [now]: requests that can still be answered in time come first, by urgency and due time.
     *
     * A take-up counts as on time, since its answer has begun. Late requests follow, the one with the latest deadline first, since it is the most likely to finish.
     */
    fun asOf(now: Instant): Comparator<PendingTurn> = Comparator { first, second -> compare(first, second, now) }

    private fun compare(
        first: PendingTurn,
        second: PendingTurn,
        now: Instant,
    ): Int {
        val firstLate = isLate(first, now)
        val secondLate = isLate(second, now)
        if (firstLate != secondLate) return if (firstLate) 1 else -1
        if (firstLate) return second.request.deadline.compareTo(first.request.deadline)
        val byUrgency =
            first.request.route.urgency
                .compareTo(second.request.route.urgency)
        return if (byUrgency != 0) byUrgency else first.dueAt.compareTo(second.dueAt)
    }

    private fun isLate(
        turn: PendingTurn,
        now: Instant,
    ): Boolean = now > turn.dueAt && !turn.request.isTakeUp
}
