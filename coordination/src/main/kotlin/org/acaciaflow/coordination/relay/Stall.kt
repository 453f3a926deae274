package org.acaciaflow.coordination.relay

/** The limit that a run without progress has exceeded; [code] names it in the log. */
enum class Stall(
    val code: String,
) {
    /** No first event, or no whole answer. */
    FIRST_DATA("first-data"),

    /** No further event. */
    BETWEEN_DATA("between-data"),

    /** No data on any stream of the server. */
    SERVER_SILENT("server-silent"),

    /** No answer to a prefill. */
    PREFILL("prefill"),
}
