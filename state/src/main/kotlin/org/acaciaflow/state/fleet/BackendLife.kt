package org.acaciaflow.state.fleet

/**
 * One lifetime of a backend server.
 *
 * [instance] is the name under which it registered; [startedAtMilliseconds] tells lifetimes under the same name
 * apart and is 0 where the platform does not say.
 */
data class BackendLife(
    val instance: String,
    val startedAtMilliseconds: Long,
) {
    /** A short form for messages between gateways; equal in every process. */
    val code: Int
        get() = instance.hashCode() * MULTIPLIER + startedAtMilliseconds.hashCode()

    private companion object {
        const val MULTIPLIER = 31
    }
}
