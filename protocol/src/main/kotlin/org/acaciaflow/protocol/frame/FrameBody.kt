package org.acaciaflow.protocol.frame

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.work.Rank

/** What a frame says. Frames from a gateway come first, those from a sidecar after them. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface FrameBody {
    /** First frame of a gateway on a link. */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val process: String,
        val dataCentre: String,
    ) : FrameBody

    /** Asks for an attempt; [buffered] starts the body, and more follows unless [bodyWhole]. */
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

    /** A further part of a call's body. */
    @Serializable
    @SerialName("call")
    class CallData(
        @ByteString val bytes: ByteArray,
    ) : FrameBody

    /** The call's body ended; [whole] is false when its sender broke off. */
    @Serializable
    @SerialName("calledEnd")
    data class CallEnd(
        val whole: Boolean,
    ) : FrameBody

    /** Nobody waits for the answer any more. */
    @Serializable
    @SerialName("cancel")
    data object Cancel : FrameBody

    /** Asks what became of the attempt at the named sidecar life. */
    @Serializable
    @SerialName("settle")
    data class Settle(
        val sidecar: String,
    ) : FrameBody

    /** The receiver may send [bytes] more of the stream. */
    @Serializable
    @SerialName("credit")
    data class Credit(
        val bytes: Int,
    ) : FrameBody

    /** The link is alive. */
    @Serializable
    @SerialName("beat")
    data object Heartbeat : FrameBody

    /** Asks a peer for the configuration that it has. */
    @Serializable
    @SerialName("pull")
    data object ConfigurationPull : FrameBody

    /** The configuration that the sender has, as a document. */
    @Serializable
    @SerialName("push")
    class ConfigurationPush(
        @ByteString val document: ByteArray,
    ) : FrameBody

    /** First frame of a sidecar on a link. */
    @Serializable
    @SerialName("welcome")
    data class Welcome(
        val process: String,
        val dataCentre: String,
        val pool: String,
        val load: WireLoad,
    ) : FrameBody

    /** Load and phase of a sidecar. */
    @Serializable
    @SerialName("load")
    data class Load(
        val load: WireLoad,
    ) : FrameBody

    /** The attempt was not started and never will be. */
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

    /** The answer is whole and has [totalBytes] bytes of body. */
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

    /** What became of an attempt. */
    @Serializable
    @SerialName("settled")
    class Settled(
        val outcome: SettledOutcome,
        val reason: MayHaveRun? = null,
        val answer: WireAnswer? = null,
    ) : FrameBody
}

/** The outcomes of a settle request on the wire. */
enum class SettledOutcome {
    NEVER_STARTED,
    STILL_RUNNING,
    COMPLETED,
    BROKEN,
    FORGOTTEN,
}

/** A header line in a frame. */
@Serializable
data class WireHeader(
    @SerialName("n") val name: String,
    @SerialName("v") val value: String,
)

/** A kept answer in a frame. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class WireAnswer(
    val status: Int,
    val headers: List<WireHeader>,
    @ByteString val body: ByteArray,
)

/** Load and phase in a frame. */
@Serializable
data class WireLoad(
    val phase: WirePhase,
    val role: EngineRole,
    val running: Int,
    val runningForReader: Int,
    val capacity: Int,
    val waitingPromptTokens: Int,
)

/** The phases of a sidecar on the wire. */
enum class WirePhase {
    SERVING,
    LEAVING,
    BACKEND_DOWN,
    CHANGING,
}
