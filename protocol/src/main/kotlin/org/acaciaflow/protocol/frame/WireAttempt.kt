package org.acaciaflow.protocol.frame

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.parseProcessIdentity

/** Wire form of an attempt identity. */
@Serializable
data class WireAttempt(
    @SerialName("p") val process: String,
    @SerialName("s") val sequence: Long,
)

/** Converts the identity to its wire form. */
fun AttemptIdentity.toWire(): WireAttempt = WireAttempt(process.toString(), sequence)

/** Converts the identity from its wire form; null when the process identity is malformed. */
fun WireAttempt.toIdentity(): AttemptIdentity? = parseProcessIdentity(process)?.let { AttemptIdentity(it, sequence) }
