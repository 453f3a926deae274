package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.state.waiting.WaitingRequest

/**
 * An admitted call that has no complete answer yet.
 *
 * [recordRevision] is the revision of the execution record that the next reservation must find. [recordOpen] is true
 * while that record says that the request may be running, so that it must be closed before the call is refused.
 */
data class PendingExchange(
    val request: WaitingRequest,
    val exchange: CallerExchange,
    val recordRevision: Long,
    val recordOpen: Boolean,
    val progress: DeliveryProgress,
    val failedAttempts: Int,
)
