package org.acaciaflow.state.connection

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * What a server was seen to write as second answers to requests that it had answered, the newest last.
 *
 * [differing] has the fingerprints of bodies that differ from those of the first answers, [copied] of bodies that are
 * equal to them. [isReported] is true once an answer of the server was not believed and that was reported in its isolation.
 */
data class SecondAnswers(
    val differing: PersistentList<Long>,
    val copied: PersistentList<Long>,
    val isReported: Boolean,
) {
    companion object {
        val NONE = SecondAnswers(persistentListOf(), persistentListOf(), isReported = false)
    }
}
