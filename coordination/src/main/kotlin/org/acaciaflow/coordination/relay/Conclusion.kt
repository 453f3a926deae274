package org.acaciaflow.coordination.relay

import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.refusal.Refusal
import kotlin.time.Duration

/** What became of a request. */
sealed interface Conclusion {
    /** The caller has the whole answer of a backend server, with this status. */
    data class Delivered(
        val status: Int,
    ) : Conclusion

    data object CallerGone : Conclusion

    /** It has not run; the caller may come back after [retryAfter]. */
    data class NotExecuted(
        val reason: NotRun,
        val retryAfter: Duration?,
    ) : Conclusion

    /** It may have run and has no answer. */
    data class Uncertain(
        val reason: MayHaveRun,
    ) : Conclusion

    /** Its answer had begun and was broken off. */
    data class Cut(
        val reason: Refusal,
    ) : Conclusion
}
