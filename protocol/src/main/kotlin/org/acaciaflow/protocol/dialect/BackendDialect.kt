package org.acaciaflow.protocol.dialect

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead

/** Puts requests to backend servers into HTTP and tells what their answers mean. */
interface BackendDialect {
    /** The call that runs a request. */
    fun runHead(order: RunOrder): CallHead

    /** The call that has a prompt read. */
    fun prefillHead(order: RunOrder): CallHead

    /** The call that frees KV cache. */
    fun releaseHead(source: CacheSource): CallHead

    /** What the head of an answer tells; only the answer to a run is signed. */
    fun verdictOn(
        order: RunOrder,
        purpose: CallPurpose,
        head: AnswerHead,
    ): AnswerVerdict

    /** The outcome that the answer to [prefillHead] tells. */
    fun prefilled(
        order: RunOrder,
        head: AnswerHead,
        body: ByteString,
    ): PrefillOutcome
}

/** What a backend server was asked to do with a request. */
enum class CallPurpose {
    RUN,
    PREFILL,
}

/** What the head of an answer tells. */
sealed interface AnswerVerdict {
    /** It is the answer to the request, which has run. */
    data object Genuine : AnswerVerdict

    /** The request has not run and never will. */
    data class NotExecuted(
        val reason: AttemptRefusal,
    ) : AnswerVerdict

    /** It answers another request that was sent on the same connection. */
    data object OfOtherRequest : AnswerVerdict

    /** It claims success without proof that the backend server made it. */
    data object Unsigned : AnswerVerdict
}
