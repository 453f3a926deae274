package org.acaciaflow.state.fleet

/**
 * Identifies one lifetime of a backend server.
 *
 * [instance] is the name under which it registered; [startedAtMilliseconds] distinguishes lifetimes with the same name
 * and is 0 if the platform does not provide a start time.
 */
data class BackendLife(
    val instance: String,
    val startedAtMilliseconds: Long,
) {
    /** A 32-bit hash that stands for this lifetime in messages between gateways; the same in every process. */
    val code: Int
        get() = instance.hashCode() * MULTIPLIER + startedAtMilliseconds.hashCode()

    private companion object {
        const val MULTIPLIER = 31
    }
}
