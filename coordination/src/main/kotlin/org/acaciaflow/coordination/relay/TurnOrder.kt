package org.acaciaflow.coordination.relay

import kotlin.time.Instant

/** The order in which waiting requests start. */
internal object TurnOrder {
    /**
     * Returns the order at [now]: requests that can still be answered in time come first, by urgency and due time.
     *
     * Late requests follow, the one with the latest deadline first, since it is the most likely to finish.
     */
    fun asOf(now: Instant): Comparator<PendingTurn> = Comparator { first, second -> compare(first, second, now) }

    private fun compare(
        first: PendingTurn,
        second: PendingTurn,
        now: Instant,
    ): Int {
        val firstLate = now > first.dueAt
        val secondLate = now > second.dueAt
        if (firstLate != secondLate) return if (firstLate) 1 else -1
        if (firstLate) return second.request.deadline.compareTo(first.request.deadline)
        val byUrgency =
            first.request.route.urgency
                .compareTo(second.request.route.urgency)
        return if (byUrgency != 0) byUrgency else first.dueAt.compareTo(second.dueAt)
    }
}
