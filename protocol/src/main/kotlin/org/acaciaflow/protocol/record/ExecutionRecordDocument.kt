package org.acaciaflow.protocol.record

import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.acaciaflow.protocol.frame.WireAttempt
import org.acaciaflow.protocol.frame.WireHeader
import org.acaciaflow.protocol.frame.toFields
import org.acaciaflow.protocol.frame.toIdentity
import org.acaciaflow.protocol.frame.toWire
import org.acaciaflow.state.identity.parseProcessIdentity
import org.acaciaflow.state.record.ExecutionRecord
import org.acaciaflow.state.record.StoredAnswer
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.refusal.Refusal
import org.acaciaflow.state.refusal.ThisCallNotRun
import kotlin.io.encoding.Base64
import kotlin.time.Instant

/** JSON form of an execution record. [identityKey] lets operators find the request; its store key is only a digest. */
@Serializable
data class ExecutionRecordDocument(
    val deployment: String,
    val identityKey: String,
    val state: ExecutionStateDocument,
)

/** JSON form of the state of an execution record. Timestamps are in milliseconds since the epoch. */
@Serializable
sealed interface ExecutionStateDocument {
    @Serializable
    @SerialName("maybe-running")
    data class MaybeRunning(
        val attempt: WireAttempt,
        val sidecar: String,
        val since: Long,
    ) : ExecutionStateDocument

    @Serializable
    @SerialName("answered")
    data class Answered(
        val attempt: WireAttempt,
        val answer: AnswerDocument?,
        val at: Long,
    ) : ExecutionStateDocument

    @Serializable
    @SerialName("not-executed")
    data class NotExecuted(
        val reason: String,
        val at: Long,
    ) : ExecutionStateDocument

    @Serializable
    @SerialName("settled-by-hand")
    data class SettledByHand(
        val executed: Boolean,
        val reason: String,
        val at: Long,
    ) : ExecutionStateDocument

    @Serializable
    @SerialName("unknown")
    data class Unknown(
        val attempt: WireAttempt,
        val sidecar: String,
        val reason: String,
        val since: Long,
    ) : ExecutionStateDocument
}

/** JSON form of a stored answer; [body] is in Base64. */
@Serializable
data class AnswerDocument(
    val status: Int,
    val headers: List<WireHeader>,
    val body: String,
)

internal fun ExecutionRecord.toDocument(): ExecutionStateDocument =
    when (this) {
        is ExecutionRecord.MaybeRunning -> {
            ExecutionStateDocument.MaybeRunning(
                attempt.toWire(),
                sidecar.toString(),
                since.toEpochMilliseconds(),
            )
        }

        is ExecutionRecord.Answered -> {
            ExecutionStateDocument.Answered(attempt.toWire(), answer?.toDocument(), at.toEpochMilliseconds())
        }

        is ExecutionRecord.NotExecuted -> {
            ExecutionStateDocument.NotExecuted(reason.code, at.toEpochMilliseconds())
        }

        is ExecutionRecord.SettledByHand -> {
            ExecutionStateDocument.SettledByHand(executed, reason, at.toEpochMilliseconds())
        }

        is ExecutionRecord.Unknown -> {
            ExecutionStateDocument.Unknown(
                attempt.toWire(),
                sidecar.toString(),
                reason.code,
                since.toEpochMilliseconds(),
            )
        }
    }

/** Converts the document to a record; null when an identity or a reason is malformed. */
internal fun ExecutionStateDocument.toRecord(): ExecutionRecord? =
    when (this) {
        is ExecutionStateDocument.MaybeRunning -> {
            val identity = attempt.toIdentity()
            val process = parseProcessIdentity(sidecar)
            if (identity == null || process == null) {
                null
            } else {
                ExecutionRecord.MaybeRunning(identity, process, instant(since))
            }
        }

        is ExecutionStateDocument.Answered -> {
            attempt.toIdentity()?.let { ExecutionRecord.Answered(it, answer?.toStored(), instant(at)) }
        }

        is ExecutionStateDocument.NotExecuted -> {
            refusalOf(reason)?.let { ExecutionRecord.NotExecuted(it, instant(at)) }
        }

        is ExecutionStateDocument.SettledByHand -> {
            ExecutionRecord.SettledByHand(executed, reason, instant(at))
        }

        is ExecutionStateDocument.Unknown -> {
            val identity = attempt.toIdentity()
            val process = parseProcessIdentity(sidecar)
            val refusal = refusalOf(reason)
            if (identity == null || process == null || refusal == null) {
                null
            } else {
                ExecutionRecord.Unknown(identity, process, refusal, instant(since))
            }
        }
    }

private val REFUSALS: List<Refusal> = NotRun.entries + ThisCallNotRun.entries + MayHaveRun.entries

private fun refusalOf(code: String): Refusal? = REFUSALS.firstOrNull { it.code == code }

private fun instant(epochMilliseconds: Long): Instant = Instant.fromEpochMilliseconds(epochMilliseconds)

private fun StoredAnswer.toDocument(): AnswerDocument =
    AnswerDocument(status, headers.toWire(), Base64.encode(body.toByteArray()))

private fun AnswerDocument.toStored(): StoredAnswer =
    StoredAnswer(status, headers.toFields().toPersistentList(), ByteString(Base64.decode(body)))
