package org.acaciaflow.state.route

/** Whether the requests of a route may be retried, and the form of their answers. */
sealed interface RequestKind {
    /** True if a request may be executed more than once. */
    val repeatable: Boolean
        get() =
            when (this) {
                Idempotent -> true
                AtMostOnce -> false
                is EventStream -> resumable
            }

    /** A plain call that may be executed any number of times. */
    data object Idempotent : RequestKind

    /** A plain call that must be executed at most once. */
    data object AtMostOnce : RequestKind

    /** The answer is an event stream; if [resumable], another backend server can continue it after a given event. */
    data class EventStream(
        val resumable: Boolean,
    ) : RequestKind
}
