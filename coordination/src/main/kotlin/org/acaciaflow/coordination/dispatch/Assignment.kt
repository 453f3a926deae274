package org.acaciaflow.coordination.dispatch

import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.waiting.WaitingRequest

/** A waiting request and the sidecar life that gets it; [alone] when it must share the engine with no other. */
data class Assignment(
    val request: WaitingRequest,
    val attempt: AttemptIdentity,
    val server: ProcessIdentity,
    val alone: Boolean,
)
