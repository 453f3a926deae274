package org.acaciaflow.coordination.store

import org.acaciaflow.state.store.StoreEra

/** Decides what the era of an answer says of it. */
object StoreEras {
    /** Compares the era of an answer, [answered], with [latest], the latest that was seen; null before any answer. */
    fun verdict(
        latest: StoreEra?,
        answered: StoreEra,
    ): EraVerdict =
        when {
            latest == null -> EraVerdict.NEW
            answered !is StoreEra.Numbered -> EraVerdict.CURRENT
            latest !is StoreEra.Numbered || answered.number > latest.number -> EraVerdict.NEW
            answered.number == latest.number -> EraVerdict.CURRENT
            else -> EraVerdict.PAST
        }
}

/** What the era of an answer says of it. */
enum class EraVerdict {
    /** Of the latest era, also when the store names none. */
    CURRENT,

    /** Of an era that was not seen before; what was known of the store is of another history. */
    NEW,

    /** Of a history that the store has left. */
    PAST,
}
