package org.acaciaflow.coordination.port

/** What a backend server says in the head of an answer about its own departure. */
sealed interface LeavingNotice {
    /** It says nothing. */
    data object Absent : LeavingNotice

    /** It finishes what runs and wants no new work. */
    data object Leaving : LeavingNotice

    /** It says something that the platform does not define; [text] is its beginning. */
    data class Unreadable(
        val text: String,
    ) : LeavingNotice
}
