package org.acaciaflow.protocol.dialect

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead

/** The HTTP protocol of the backend servers: encodes requests to them and interprets their responses. */
interface BackendDialect {
    /** The head of the call that runs a request. */
    fun runHead(order: RunOrder): CallHead

    /** The head of the call that prefills a prompt. */
    fun prefillHead(order: RunOrder): CallHead

    /** The head of the call that releases the KV cache held for [source]. */
    fun releaseHead(source: CacheSource): CallHead

    /** Classifies a response by its head. Only responses to [CallPurpose.RUN] are signed. */
    fun classifyAnswer(
        order: RunOrder,
        purpose: CallPurpose,
        head: AnswerHead,
    ): AnswerVerdict

    /** Interprets the complete response to a [prefillHead] call. */
    fun prefillOutcome(
        order: RunOrder,
        head: AnswerHead,
        body: ByteString,
    ): PrefillOutcome
}

/** What a call asks of a backend server. */
enum class CallPurpose {
    RUN,
    PREFILL,
}

/** The classification of a response. */
sealed interface AnswerVerdict {
    /** It is the response to the request, and the request was executed. */
    data object Genuine : AnswerVerdict

    /** The backend server rejected the request and will not execute it. */
    data class NotExecuted(
        val reason: AttemptRefusal,
    ) : AnswerVerdict

    /** It carries the identity of another request, such as an earlier one on the same connection. */
    data object OfOtherRequest : AnswerVerdict

    /** It reports success but lacks the backend server's signature. */
    data object Unsigned : AnswerVerdict
}
