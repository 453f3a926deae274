package org.acaciaflow.coordination.relay

import kotlin.time.Duration

/**
 * How long a run may be silent before it is ended to be tried elsewhere; null where it has to be waited for.
 *
 * [first] bounds the time to the first byte of an answer's content, [between] the pauses after it.
 */
data class Patience(
    val first: Duration?,
    val between: Duration?,
) {
    companion object {
        val UNBOUNDED = Patience(first = null, between = null)
    }
}
