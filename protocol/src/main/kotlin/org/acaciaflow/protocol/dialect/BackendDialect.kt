package org.acaciaflow.protocol.dialect

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.CacheSource
import org.acaciaflow.coordination.port.CallPurpose
import org.acaciaflow.coordination.port.LeavingNotice
import org.acaciaflow.coordination.port.LimitNotice
import org.acaciaflow.coordination.port.PrefillOutcome
import org.acaciaflow.coordination.port.RestNotice
import org.acaciaflow.coordination.port.RunOrder
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.CallHead

/** The HTTP protocol of the backend servers: encodes requests to them and interprets their answers. */
interface BackendDialect {
    /** The names, in lower case, of the header fields that an answer has once at most: its request and its signature. */
    val singleFields: Set<String>

    /** The head of the call that runs a request. */
    fun runHead(order: RunOrder): CallHead

    /** The head of the call that prefills a prompt. */
    fun prefillHead(order: RunOrder): CallHead

    /** The head of the call that releases the KV cache held for [source]. */
    fun releaseHead(source: CacheSource): CallHead

    /** Classifies an answer by its head. Only answers to [CallPurpose.RUN] are signed. */
    fun classifyAnswer(
        order: RunOrder,
        purpose: CallPurpose,
        head: AnswerHead,
    ): AnswerVerdict

    /** The request ids that an answer with [head] carries; the answer to one request has exactly one. */
    fun answerIds(head: AnswerHead): List<String>

    /** What the server that wrote [head] signed its answer with; null if it is not signed. */
    fun signature(head: AnswerHead): String?

    /** Reads what the server that wrote [head] says of its departure; not for an answer of another request. */
    fun leavingNotice(head: AnswerHead): LeavingNotice

    /** Reads from [head] for how long its server wants no requests; not for an answer of another request. */
    fun restNotice(head: AnswerHead): RestNotice

    /** Reads from [head] how many requests a second its server takes; not for an answer of another request. */
    fun limitNotice(head: AnswerHead): LimitNotice

    /** Interprets the complete answer to a [prefillHead] call. */
    fun prefillOutcome(
        order: RunOrder,
        head: AnswerHead,
        body: ByteString,
    ): PrefillOutcome
}

/** The classification of an answer. */
sealed interface AnswerVerdict {
    /** It is the answer to the request, and the request was executed. */
    data object Genuine : AnswerVerdict

    /** The backend server rejected the request and will not execute it. */
    data class NotExecuted(
        val reason: AttemptRefusal,
    ) : AnswerVerdict

    /**
     * It doesn't carry the request's identity, or carries another one too.
     *
     * It may belong to an earlier request on the same connection, so nothing is known about this one.
     */
    data object OfOtherRequest : AnswerVerdict

    /** It reports success but lacks the backend server's signature. */
    data object Unsigned : AnswerVerdict

    /** It reports success and is not the event stream that the request asks for. */
    data object NoStream : AnswerVerdict
}

/** True if the answer is one of the server that was addressed, so that its notices concern that server. */
val AnswerVerdict.isOfAddressedServer: Boolean
    get() =
        when (this) {
            AnswerVerdict.Genuine -> true
            is AnswerVerdict.NotExecuted -> reason != AttemptRefusal.OTHER_LIFE
            AnswerVerdict.OfOtherRequest, AnswerVerdict.Unsigned, AnswerVerdict.NoStream -> false
        }
