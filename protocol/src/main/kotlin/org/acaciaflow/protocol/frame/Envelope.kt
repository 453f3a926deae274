package org.acaciaflow.protocol.frame

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One frame between our processes: the sender's configuration revision, the attempt it is about, and its body. */
@Serializable
data class Envelope(
    @SerialName("r") val revision: Long,
    @SerialName("a") val attempt: WireAttempt?,
    @SerialName("b") val body: FrameBody,
)
