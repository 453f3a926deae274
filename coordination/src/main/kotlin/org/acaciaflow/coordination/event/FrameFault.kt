package org.acaciaflow.coordination.event

/** Reason for rejecting a frame from a peer process. */
enum class FrameFault(
    val code: String,
) {
    TOO_LONG("too-long"),
    UNDECODABLE("undecodable"),
    UNEXPECTED("unexpected"),
}
