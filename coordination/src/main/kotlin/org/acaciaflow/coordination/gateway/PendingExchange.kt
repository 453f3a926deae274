package org.acaciaflow.coordination.gateway

import org.acaciaflow.coordination.port.CallerExchange
import org.acaciaflow.state.waiting.WaitingRequest

/**
 * An admitted call whose answer is not complete yet.
 *
 * [recordRevision] is the expected revision of the execution record for the compare-and-swap of the next reservation.
 * [recordOpen] is true while that record states that the request may be running; it must then be closed before the
 * call is refused.
 */
data class PendingExchange(
    val request: WaitingRequest,
    val exchange: CallerExchange,
    val recordRevision: Long,
    val recordOpen: Boolean,
    val progress: DeliveryProgress,
    val failedAttempts: Int,
)
