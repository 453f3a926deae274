package org.acaciaflow.coordination.port

import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.RequestDigest
import kotlin.time.Duration

/**
 * A gateway's order to a sidecar to run one attempt of a request.
 *
 * [alone] when the request must not share the engine with others. [resumeFromToken] is the number of tokens that the
 * caller already has. [timeLeft] is the time until the deadline.
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
