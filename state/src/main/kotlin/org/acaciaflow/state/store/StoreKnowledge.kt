package org.acaciaflow.state.store

import kotlin.time.Instant

/**
 * How recent a process's knowledge of the platform's store is.
 *
 * The latest answer was of [era], null before the first one. All changes up to [revision] have been applied, as the store
 * answered at [answeredAt] to a call of [askedAt]; all keys were last read at [readAt]. All are null before the first answer. [failingSince] is the first failure after the last answer;
 * [failedAt] is the last failure; [recoveredAt] is when the store last answered after an outage, or failed shortly. The store last returned from
 * a copy at [returnedAt] or later, and [firstOfEra] is the first revision that it answered then; both are null before any
 * return. [unreadable] counts the changes, keys and answers that
 * could not be decoded, of which [lastFault] describes the last.
 */
data class StoreKnowledge(
    val era: StoreEra?,
    val revision: StoreRevision,
    val answeredAt: Instant?,
    val askedAt: Instant?,
    val readAt: Instant?,
    val failingSince: Instant?,
    val failedAt: Instant?,
    val recoveredAt: Instant?,
    val returnedAt: Instant?,
    val firstOfEra: StoreRevision?,
    val unreadable: Long,
    val lastFault: String?,
) {
    companion object {
        val NONE =
            StoreKnowledge(
                era = null,
                revision = StoreRevision.NONE,
                answeredAt = null,
                askedAt = null,
                readAt = null,
                failingSince = null,
                failedAt = null,
                recoveredAt = null,
                returnedAt = null,
                firstOfEra = null,
                unreadable = 0,
                lastFault = null,
            )
    }
}
