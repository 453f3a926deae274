package org.acaciaflow.coordination.port

import kotlin.time.Duration

/** What a backend server says in the head of a refusal about when it wants requests again. */
sealed interface RestNotice {
    /** It says nothing. */
    data object Absent : RestNotice

    /** It wants no requests for [duration]. */
    data class Resting(
        val duration: Duration,
    ) : RestNotice

    /** It says something that the platform does not define; [text] is its beginning. */
    data class Unreadable(
        val text: String,
    ) : RestNotice
}
