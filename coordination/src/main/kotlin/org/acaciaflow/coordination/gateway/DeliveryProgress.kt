package org.acaciaflow.coordination.gateway

/**
 * What the caller has received so far.
 *
 * [begun] is true once the head of the answer was sent, [events] counts the stream events sent, and [resumable] tells
 * whether another attempt can continue the answer after these events.
 */
data class DeliveryProgress(
    val begun: Boolean,
    val events: Int,
    val resumable: Boolean,
) {
    companion object {
        val NOTHING = DeliveryProgress(begun = false, events = 0, resumable = true)
    }
}
