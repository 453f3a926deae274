package org.acaciaflow.coordination.port

/** What a backend server says in the head of an answer about the requests that it takes from all gateways together. */
sealed interface LimitNotice {
    /** It names no limit. */
    data object Absent : LimitNotice

    /** It takes [perSecond] requests a second. */
    data class Named(
        val perSecond: Double,
    ) : LimitNotice

    /** It says something that the platform does not define; [text] is its beginning. */
    data class Unreadable(
        val text: String,
    ) : LimitNotice
}
