package org.acaciaflow.state.refusal

/** The request was not executed and is guaranteed never to be. */
enum class NotRun(
    override val code: String,
) : Refusal {
    UNKNOWN_CALL("unknown-call"),
    BODY_TOO_LARGE("body-too-large"),

    /** The head of the call was incomplete for too long. */
    HEAD_LATE("head-late"),

    /** The body of the call was incomplete when its caller's time was over, or paused for too long. */
    BODY_LATE("body-late"),
    IDENTITY_MISSING("identity-missing"),
    NO_CONFIGURATION("no-configuration"),
    QUEUE_FULL("queue-full"),
    DEADLINE_PASSED("deadline-passed"),
    CALLER_GONE("caller-gone"),
    CRASH_SUSPECT("crash-suspect"),
    IDENTITY_UNREADABLE("identity-unreadable"),
    TARGET_MALFORMED("target-malformed"),
    NO_BACKEND("no-backend"),
    BACKENDS_REFUSED("backends-refused"),
    BACKENDS_RESTING("backends-resting"),
    BACKENDS_LIMITED("backends-limited"),
    LATE_ALREADY("late-already"),
    ROOM_RESERVED("room-reserved"),
    STREAM_ORIGIN_UNKNOWN("stream-origin-unknown"),
    STREAM_VERSION_GONE("stream-version-gone"),
    STREAM_UNRECORDABLE("stream-unrecordable"),
    STOPPING("stopping"),
}
