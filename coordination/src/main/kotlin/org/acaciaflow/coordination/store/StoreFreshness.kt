package org.acaciaflow.coordination.store

import org.acaciaflow.state.store.RevisionOrder
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Records answers and failures of the store, and decides when a process's knowledge of it is stale. */
object StoreFreshness {
    /** Without an answer for this long, knowledge is stale. A watch without changes answers several times as often. */
    val STALE_AFTER: Duration = 10.seconds

    /**
     * How long an entry may be missing after an outage or a return of the store although its server is alive.
     *
     * [LapsedEntryRemoval] removes lapsed entries somewhat later, and after two seconds none may be in use.
     */
    val DOUBT: Duration = 1750.milliseconds

    /** How long the store fails at least before an entry expires for that; servers write every 1.2 s, and expire after 3.6 s. */
    private val SHORTEST_OUTAGE: Duration = 2.seconds

    /** How long a missing entry's server stays in use at most, beside a store that fails again and again. */
    val LONGEST_DOUBT: Duration = 10.seconds

    /** Records that everything up to [revision], which the store was asked for at [askedAt], was applied at [now]. */
    fun answered(
        knowledge: StoreKnowledge,
        revision: StoreRevision,
        now: Instant,
        askedAt: Instant = now,
    ): StoreKnowledge = available(knowledge, now).copy(revision = revision, answeredAt = now, askedAt = askedAt)

    /** Records that all keys, which the store was asked for from [askedAt] on, were read at [now], as of [revision] or later. */
    fun read(
        knowledge: StoreKnowledge,
        revision: StoreRevision,
        now: Instant,
        askedAt: Instant = now,
    ): StoreKnowledge = answered(knowledge, revision, now, askedAt).copy(readAt = now)

    /**
     * Records that the store answered at [now], whatever the answer holds.
     *
     * After a failure that was no outage, such as a watch that was cut, doubts count from the failure.
     */
    fun available(
        knowledge: StoreKnowledge,
        now: Instant,
    ): StoreKnowledge {
        val since = knowledge.failingSince
        return when {
            since == null -> knowledge
            isOfReturn(knowledge, now) -> knowledge.copy(failingSince = null)
            now - since < SHORTEST_OUTAGE -> knowledge.copy(failingSince = null, recoveredAt = knowledge.failedAt)
            else -> knowledge.copy(failingSince = null, recoveredAt = now)
        }
    }

    /**
     * Records that the store answered in [era] for the first time at [now].
     *
     * It returned after its last answer of the former era and after the last failure, which this answer ends. So doubts
     * count from there. If they would be over, a store that answers so late tells nothing of that time, and they count
     * from [now].
     */
    fun returned(
        knowledge: StoreKnowledge,
        era: StoreEra,
        now: Instant,
    ): StoreKnowledge =
        when (knowledge.era) {
            null -> {
                knowledge.copy(era = era)
            }

            else -> {
                val before = listOfNotNull(knowledge.answeredAt, knowledge.failedAt).maxOrNull()
                val returnedAt = before?.takeIf { now - it < DOUBT } ?: now
                knowledge.copy(era = era, failingSince = null, returnedAt = returnedAt, firstOfEra = null)
            }
        }

    /** Records that the store has answered with [revision] of the present era. */
    fun seen(
        knowledge: StoreKnowledge,
        revision: StoreRevision,
    ): StoreKnowledge =
        if (knowledge.returnedAt == null || knowledge.firstOfEra != null || revision.era != knowledge.era) {
            knowledge
        } else {
            knowledge.copy(firstOfEra = revision)
        }

    /** Records a failed call; [StoreKnowledge.failingSince] keeps the first failure since the last answer. */
    fun failed(
        knowledge: StoreKnowledge,
        now: Instant,
    ): StoreKnowledge = knowledge.copy(failingSince = knowledge.failingSince ?: now, failedAt = now)

    /** Records something that could not be decoded. */
    fun unreadable(
        knowledge: StoreKnowledge,
        fault: String,
    ): StoreKnowledge = knowledge.copy(unreadable = knowledge.unreadable + 1, lastFault = fault)

    /** True while an entry may be missing only because its server could not reach the store, or the copy lacks it. */
    fun isInDoubt(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Boolean =
        isFailing(knowledge, now) ||
            isWithin(DOUBT, knowledge.recoveredAt, now) ||
            isWithin(DOUBT, knowledge.returnedAt, now)

    /**
     * True if the removal at [revision] can be no entry that expired while the store was away before its return from a copy.
     *
     * The store made it after it had returned and answered, and has not been away since.
     */
    fun isSinceReturn(
        knowledge: StoreKnowledge,
        revision: StoreRevision,
        now: Instant,
    ): Boolean =
        knowledge.firstOfEra?.let { revision.orderTo(it) } == RevisionOrder.LATER &&
            !isFailing(knowledge, now) &&
            !isWithin(DOUBT, knowledge.recoveredAt, now)

    /** The latest time at which an entry lapsed whose server is now taken as gone; null while the store fails. */
    fun latestCertainLapse(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Instant? =
        when {
            isFailing(knowledge, now) -> null
            isInDoubt(knowledge, now) -> now - LONGEST_DOUBT
            else -> now
        }

    private fun isFailing(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Boolean = knowledge.failingSince != null && !isOfReturn(knowledge, now)

    /** True if the present failures are a short series right after the last return of the store. */
    private fun isOfReturn(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Boolean {
        val returnedAt = knowledge.returnedAt ?: return false
        val since = knowledge.failingSince ?: return false
        return since - returnedAt < DOUBT && now - since < SHORTEST_OUTAGE
    }

    private fun isWithin(
        duration: Duration,
        start: Instant?,
        now: Instant,
    ): Boolean = start != null && now - start < duration

    /** How long ago the store last answered; null before its first answer. */
    fun age(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Duration? = knowledge.answeredAt?.let { now - it }

    /**
     * True if what is known was the store's state less than [duration] before [now].
     *
     * An answer may have waited unread, for example while this process was stopped, so the time of its call counts.
     */
    fun isConfirmedWithin(
        duration: Duration,
        knowledge: StoreKnowledge,
        now: Instant,
    ): Boolean = knowledge.askedAt?.let { now - it < duration } ?: false

    /** True if the knowledge was complete once and has not been confirmed for [STALE_AFTER]. */
    fun isStale(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Boolean = age(knowledge, now)?.let { it >= STALE_AFTER } ?: false
}
