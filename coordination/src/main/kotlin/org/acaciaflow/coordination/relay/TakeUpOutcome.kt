package org.acaciaflow.coordination.relay

import org.acaciaflow.state.refusal.NotRun

/** What became of a stream that its caller took up; [code] names it in meters. */
enum class TakeUpOutcome(
    val code: String,
) {
    /** The caller got a further part of the stream, or its end. */
    WENT_ON("went-on"),

    /** No server has the software version that began the stream. */
    VERSION_GONE("version-gone"),
    ORIGIN_UNKNOWN("origin-unknown"),

    /** Not run for another reason. */
    REFUSED("refused"),

    /** Servers failed, the time was over, or the caller left before a part of the answer. */
    FAILED("failed"),
    ;

    companion object {
        /** Returns what became of a take-up that ended with [conclusion] after [progress]. */
        fun of(
            conclusion: Conclusion,
            progress: RelayProgress,
        ): TakeUpOutcome =
            when (conclusion) {
                is Conclusion.NotExecuted -> of(conclusion.reason)

                is Conclusion.Delivered, Conclusion.CallerGone, is Conclusion.Uncertain, is Conclusion.Aborted -> {
                    if (progress.begun) WENT_ON else FAILED
                }
            }

        private fun of(reason: NotRun): TakeUpOutcome =
            when (reason) {
                NotRun.STREAM_VERSION_GONE -> VERSION_GONE
                NotRun.STREAM_ORIGIN_UNKNOWN -> ORIGIN_UNKNOWN
                else -> REFUSED
            }
    }
}
