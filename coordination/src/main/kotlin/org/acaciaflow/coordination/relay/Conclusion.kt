package org.acaciaflow.coordination.relay

import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.refusal.Refusal
import kotlin.time.Duration

/** The final result of a request. */
sealed interface Conclusion {
    /** The caller received the complete answer of a backend server; [status] is its status code. */
    data class Delivered(
        val status: Int,
    ) : Conclusion

    data object CallerGone : Conclusion

    /** The request was not executed; [retryAfter] is the delay suggested to the caller, if any. */
    data class NotExecuted(
        val reason: NotRun,
        val retryAfter: Duration?,
    ) : Conclusion

    /** The request may have been executed, but no answer is available. */
    data class Uncertain(
        val reason: MayHaveRun,
    ) : Conclusion

    /** The answer was aborted after the caller had received a part of it. */
    data class Aborted(
        val reason: Refusal,
    ) : Conclusion
}
