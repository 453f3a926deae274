package org.acaciaflow.coordination.stream

/** How the origin of a stream that is taken up was looked up. */
enum class OriginLookup(
    val code: String,
) {
    /** This gateway began the stream, or has gone on with it. */
    OWN("own"),

    /** The store has a record of the stream. */
    FOUND("found"),

    /** The store has no record, so that the stream began at the base version. */
    BASE("base"),

    /** The origin can't be proved. */
    UNKNOWN("unknown"),

    /** The store could not be asked. */
    UNAVAILABLE("unavailable"),
}
