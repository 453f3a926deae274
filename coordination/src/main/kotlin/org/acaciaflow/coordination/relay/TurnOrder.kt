package org.acaciaflow.coordination.relay

import kotlin.time.Instant

/** Which of the waiting requests goes first. */
internal object TurnOrder {
    /**
     * Requests that can still be answered in time as of [now] go first, by urgency and then by how soon they are due.
     * Of those that are late the one goes first that has the most time left, since it can still be finished.
     */
    fun asOf(now: Instant): Comparator<WaitingRequest> = Comparator { first, second -> compare(first, second, now) }

    private fun compare(
        first: WaitingRequest,
        second: WaitingRequest,
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
