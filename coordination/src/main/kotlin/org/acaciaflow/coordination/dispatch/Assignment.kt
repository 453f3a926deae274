package org.acaciaflow.coordination.dispatch

import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.waiting.WaitingRequest

/** A waiting request assigned to a sidecar lifetime; [alone] if it must not share the engine with others. */
data class Assignment(
    val request: WaitingRequest,
    val attempt: AttemptIdentity,
    val server: ProcessIdentity,
    val alone: Boolean,
)
