package org.acaciaflow.protocol.frame

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.parseProcessIdentity

/** An attempt identity in a frame. */
@Serializable
data class WireAttempt(
    @SerialName("p") val process: String,
    @SerialName("s") val sequence: Long,
)

/** The attempt identity in a frame. */
fun AttemptIdentity.toWire(): WireAttempt = WireAttempt(process.toString(), sequence)

/** The attempt identity; null when its process is malformed. */
fun WireAttempt.toIdentity(): AttemptIdentity? = parseProcessIdentity(process)?.let { AttemptIdentity(it, sequence) }
