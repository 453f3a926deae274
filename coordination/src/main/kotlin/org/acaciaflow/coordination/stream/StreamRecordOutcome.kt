package org.acaciaflow.coordination.stream

/** What became of a record of a stream. */
enum class StreamRecordOutcome(
    val code: String,
) {
    WRITTEN("written"),

    /** Not stored in time, so that no event of the stream was passed on. */
    GIVEN_UP("given-up"),

    /** The lease had ended; the record is written again under a new one. */
    LEASE_LOST("lease-lost"),

    /** Not stored within the time in which the stream could be taken up. */
    EXPIRED("expired"),
}
