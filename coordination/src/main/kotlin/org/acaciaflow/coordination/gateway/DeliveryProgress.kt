package org.acaciaflow.coordination.gateway

/** What a caller has received so far: whether its answer has begun, and how many stream events it holds. */
data class DeliveryProgress(
    val begun: Boolean,
    val events: Int,
    val resumable: Boolean,
) {
    companion object {
        val NOTHING = DeliveryProgress(begun = false, events = 0, resumable = true)
    }
}
