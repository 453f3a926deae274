package org.acaciaflow.coordination.store

import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Records answers and failures of the store, and decides when a process's knowledge of it is stale. */
object StoreFreshness {
    /** Without an answer for this long, knowledge is stale. A watch without changes answers several times as often. */
    val STALE_AFTER: Duration = 10.seconds

    /** How long an entry may be missing after an outage of the store although its server is alive. */
    val DOUBT_AFTER_OUTAGE: Duration = 2.seconds

    /** How long a missing entry's server stays in use at most, beside a store that fails again and again. */
    val LONGEST_DOUBT: Duration = 10.seconds

    /** Records that everything up to [revision] was applied at [now]. */
    fun answered(
        knowledge: StoreKnowledge,
        revision: StoreRevision,
        now: Instant,
    ): StoreKnowledge = available(knowledge, now).copy(revision = revision, answeredAt = now)

    /** Records that all keys were read at [now], as of [revision] or later. */
    fun read(
        knowledge: StoreKnowledge,
        revision: StoreRevision,
        now: Instant,
    ): StoreKnowledge = answered(knowledge, revision, now).copy(readAt = now)

    /** Records that the store answered at [now], whatever the answer holds. */
    fun available(
        knowledge: StoreKnowledge,
        now: Instant,
    ): StoreKnowledge =
        when (knowledge.failingSince) {
            null -> knowledge
            else -> knowledge.copy(failingSince = null, recoveredAt = now)
        }

    /** Records that the store answered in [era] for the first time at [now]; entries need a moment to be back. */
    fun returned(
        knowledge: StoreKnowledge,
        era: StoreEra,
        now: Instant,
    ): StoreKnowledge =
        when (knowledge.era) {
            null -> knowledge.copy(era = era)
            else -> knowledge.copy(era = era, recoveredAt = now)
        }

    /** Records a failed call; [StoreKnowledge.failingSince] keeps the first failure since the last answer. */
    fun failed(
        knowledge: StoreKnowledge,
        now: Instant,
    ): StoreKnowledge = if (knowledge.failingSince == null) knowledge.copy(failingSince = now) else knowledge

    /** Records something that could not be decoded. */
    fun unreadable(
        knowledge: StoreKnowledge,
        fault: String,
    ): StoreKnowledge = knowledge.copy(unreadable = knowledge.unreadable + 1, lastFault = fault)

    /** True while an entry may be missing only because its server could not reach the store. */
    fun isInDoubt(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Boolean {
        val recoveredAt = knowledge.recoveredAt
        return knowledge.failingSince != null || (recoveredAt != null && now - recoveredAt < DOUBT_AFTER_OUTAGE)
    }

    /** The latest time at which an entry lapsed whose server is now taken as gone; null while the store fails. */
    fun latestCertainLapse(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Instant? =
        when {
            knowledge.failingSince != null -> null
            isInDoubt(knowledge, now) -> now - LONGEST_DOUBT
            else -> now
        }

    /** How long ago the store last answered; null before its first answer. */
    fun age(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Duration? = knowledge.answeredAt?.let { now - it }

    /** True if the knowledge was complete once and has not been confirmed for [STALE_AFTER]. */
    fun isStale(
        knowledge: StoreKnowledge,
        now: Instant,
    ): Boolean = age(knowledge, now)?.let { it >= STALE_AFTER } ?: false
}
