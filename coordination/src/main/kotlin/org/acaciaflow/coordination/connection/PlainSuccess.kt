package org.acaciaflow.coordination.connection

/**
 * The plain success [answered] that was passed on, of the attempt with number [attempt], which counts from 1.
 *
 * Its body has [length] bytes. The connection brought [bytesRead] bytes from the sending until then, heads and bytes behind
 * the answer included. [isHeld] is true if it was held before.
 */
data class PlainSuccess(
    val answered: AnsweredRequest,
    val attempt: Int,
    val length: Long,
    val bytesRead: Long,
    val isHeld: Boolean,
)
