package org.acaciaflow.protocol.frame

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.Rank

/** The payload of a frame: first the types that a gateway sends, then those that a sidecar sends. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface FrameBody {
    /** The first frame that a gateway sends on a link. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val process: String,
        val dataCentre: String,
    ) : FrameBody

    /**
     * Starts an attempt.
     *
     * [alone] requires an engine that runs no other request meanwhile. [resumeFromToken] is the number of tokens that
     * the caller already has. [timeLeftMilliseconds] is the time until the deadline. [buffered] is the start of the
     * request body; [CallData] frames follow unless [bodyWhole].
     */
    @Serializable
    @SerialName("open")
    class Open(
        val sidecar: String,
        val method: String,
        val target: String,
        val headers: List<WireHeader>,
        val rank: Rank,
        val atMostOnce: Boolean,
        val alone: Boolean,
        val digest: String,
        val resumeFromToken: Int,
        val timeLeftMilliseconds: Long,
        @ByteString val buffered: ByteArray,
        val bodyWhole: Boolean,
    ) : FrameBody

    /** The next chunk of the request body. */
    @Serializable
    @SerialName("call")
    class CallData(
        @ByteString val bytes: ByteArray,
    ) : FrameBody

    /** The end of the request body; [whole] is false when the body broke off before its end. */
    @Serializable
    @SerialName("calledEnd")
    data class CallEnd(
        val whole: Boolean,
    ) : FrameBody

    /** Cancels the attempt because no caller waits for its answer. */
    @Serializable
    @SerialName("cancel")
    data object Cancel : FrameBody

    /** Queries the outcome of the attempt from one sidecar process, identified by address and start number. */
    @Serializable
    @SerialName("settle")
    data class Settle(
        val sidecar: String,
    ) : FrameBody

    /** Flow control: allows the receiver of this frame to send [bytes] more of the stream. */
    @Serializable
    @SerialName("credit")
    data class Credit(
        val bytes: Int,
    ) : FrameBody

    /** A heartbeat, by which the peer detects a lost link. */
    @Serializable
    @SerialName("beat")
    data object Heartbeat : FrameBody

    /** Requests the peer's current configuration. */
    @Serializable
    @SerialName("pull")
    data object ConfigurationPull : FrameBody

    /** The sender's current configuration, encoded by `ConfigurationCodec`. */
    @Serializable
    @SerialName("push")
    class ConfigurationPush(
        @ByteString val document: ByteArray,
    ) : FrameBody

    /** The first frame that a sidecar sends on a link. */
    @Serializable
    @SerialName("welcome")
    data class Welcome(
        val process: String,
        val dataCentre: String,
        val pool: String,
        val load: WireLoad,
    ) : FrameBody

    /** An update of the sidecar's load and phase. */
    @Serializable
    @SerialName("load")
    data class Load(
        val load: WireLoad,
    ) : FrameBody

    /** The sidecar rejected the attempt and will not start it. */
    @Serializable
    @SerialName("refused")
    data class Refused(
        val reason: AttemptRefusal,
    ) : FrameBody

    @Serializable
    @SerialName("head")
    data class AnswerHead(
        val status: Int,
        val headers: List<WireHeader>,
    ) : FrameBody

    @Serializable
    @SerialName("data")
    class AnswerData(
        @ByteString val bytes: ByteArray,
    ) : FrameBody

    /** The answer is complete; its body has [totalBytes] bytes. */
    @Serializable
    @SerialName("end")
    data class AnswerEnd(
        val totalBytes: Long,
    ) : FrameBody

    @Serializable
    @SerialName("broken")
    data class Broken(
        val reason: MayHaveRun,
    ) : FrameBody

    /** The reply to [Settle]: the outcome of an attempt. */
    @Serializable
    @SerialName("settled")
    class Settled(
        val outcome: SettledOutcome,
        val reason: MayHaveRun? = null,
        val answer: WireAnswer? = null,
    ) : FrameBody
}

/** Wire form of the outcomes that a sidecar reports for an attempt. */
enum class SettledOutcome {
    NEVER_STARTED,
    STILL_RUNNING,
    COMPLETED,
    BROKEN,
    FORGOTTEN,
}

/** Wire form of a header field. */
@Serializable
data class WireHeader(
    @SerialName("n") val name: String,
    @SerialName("v") val value: String,
)

/** Wire form of a stored answer. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class WireAnswer(
    val status: Int,
    val headers: List<WireHeader>,
    @ByteString val body: ByteArray,
)

/**
 * Wire form of a sidecar's load and phase.
 *
 * [running] counts all requests in progress, [runningForReader] those that the receiving gateway started.
 */
@Serializable
data class WireLoad(
    val phase: WirePhase,
    val role: EngineRole,
    val running: Int,
    val runningForReader: Int,
    val capacity: Int,
    val waitingPromptTokens: Int,
)

/** Wire form of the phases of a sidecar. */
enum class WirePhase {
    SERVING,
    LEAVING,
    BACKEND_DOWN,
    CHANGING,
}
