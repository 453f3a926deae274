package org.acaciaflow.protocol.frame

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A frame between a gateway and a sidecar.
 *
 * [revision] is the sender's configuration revision. [attempt] is null for frames that concern the whole link.
 */
@Serializable
data class Envelope(
    @SerialName("r") val revision: Long,
    @SerialName("a") val attempt: WireAttempt?,
    @SerialName("b") val body: FrameBody,
)
