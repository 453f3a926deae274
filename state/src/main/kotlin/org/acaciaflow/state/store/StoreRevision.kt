package org.acaciaflow.state.store

/**
 * Identifies one state of the store's keys.
 *
 * [number] rises with each change and is given out again in another [era], so revisions are ordered within an era only.
 */
data class StoreRevision(
    val era: StoreEra,
    val number: Long,
) {
    /** The order of this revision to [other]. */
    fun orderTo(other: StoreRevision): RevisionOrder =
        when {
            era != other.era -> RevisionOrder.OTHER_ERA
            number < other.number -> RevisionOrder.EARLIER
            number == other.number -> RevisionOrder.SAME
            else -> RevisionOrder.LATER
        }

    /** True if [other] is of the same era and has all changes of this revision. */
    fun isUpTo(other: StoreRevision): Boolean = era == other.era && number <= other.number

    override fun toString(): String =
        when (era) {
            is StoreEra.Numbered -> "$number (era ${era.number})"
            StoreEra.Unknown -> "$number"
        }

    companion object {
        /** Before the first change of a store whose era is not known. */
        val NONE = StoreRevision(StoreEra.Unknown, 0)
    }
}

/** The order of a revision to another one; [OTHER_ERA] when they have none. */
enum class RevisionOrder {
    EARLIER,
    SAME,
    LATER,
    OTHER_ERA,
}
