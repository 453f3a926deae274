package org.acaciaflow.state.connection

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.state.bytes.fingerprintOf

/** The form of an answer's head: its [status], and the lower-case [names] of the fields that its server chose, in order. */
data class AnswerForm(
    val status: Int,
    val names: PersistentList<String>,
) {
    /** Stands for this form in tables and in messages between gateways; the same in every process. */
    val fingerprint: Long = fingerprintOf(names.joinToString(separator = ",", prefix = "$status:"))

    /** The form in one word for the log, shortened. */
    override fun toString(): String = names.joinToString(separator = ",", prefix = "$status:").take(SHOWN_CHARACTERS)

    private companion object {
        const val SHOWN_CHARACTERS = 160
    }
}
