package org.acaciaflow.state.identity

/**
 * Identifies one attempt to execute a request.
 *
 * Unique across processes and restarts: [sequence] counts the attempts within the lifetime of [process].
 */
data class AttemptIdentity(
    val process: ProcessIdentity,
    val sequence: Long,
) {
    override fun toString(): String = "$process#$sequence"
}
