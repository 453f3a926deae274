package org.acaciaflow.coordination.event

/** Why bytes from a peer process are not a frame. */
enum class FrameFault(
    val code: String,
) {
    TOO_LONG("too-long"),
    UNDECODABLE("undecodable"),
    UNEXPECTED("unexpected"),
}
