package org.acaciaflow.state.route

/** What may be done with the requests of a route, and what form their answers have. */
sealed interface RequestKind {
    /** True when a request may run more than once. */
    val repeatable: Boolean
        get() =
            when (this) {
                Idempotent -> true
                AtMostOnce -> false
                is EventStream -> resumable
            }

    /** A plain call that may run any number of times. */
    data object Idempotent : RequestKind

    /** A plain call that runs at most once. */
    data object AtMostOnce : RequestKind

    /** The answer is a series of events; [resumable] when another backend server can go on after a given event. */
    data class EventStream(
        val resumable: Boolean,
    ) : RequestKind
}
