package org.acaciaflow.coordination.port

import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.RequestDigest
import kotlin.time.Duration

/**
 * What a gateway asks of a sidecar.
 *
 * [timeLeft] is the time until the deadline. [resumeFromToken] is the count of tokens that the caller already has.
 */
data class AttemptOrder(
    val attempt: AttemptIdentity,
    val sidecar: ProcessIdentity,
    val call: CallHead,
    val rank: Rank,
    val atMostOnce: Boolean,
    val alone: Boolean,
    val digest: RequestDigest,
    val resumeFromToken: Int,
    val timeLeft: Duration,
)
