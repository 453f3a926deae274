package org.acaciaflow.state.identity

/** One try at one request. No other process and no other life of this process can repeat it. */
data class AttemptIdentity(
    val process: ProcessIdentity,
    val sequence: Long,
) {
    override fun toString(): String = "$process#$sequence"
}
