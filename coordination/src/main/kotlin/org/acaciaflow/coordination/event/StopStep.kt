package org.acaciaflow.coordination.event

/** A step of the planned stop of a gateway. */
enum class StopStep {
    /** No request is admitted any more, the port and idle connections close; calls in progress go on. */
    CLOSING,

    /** The stop's time is over; calls in progress are concluded by what is known of their execution. */
    ENDING,

    /** All connections of callers are closed. */
    CLOSED,
}
