package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.connection.AnswerForm
import org.acaciaflow.state.work.AnswerHead

/**
 * Returns the form of the answer with [head].
 *
 * Fields of the connection, of the framing and of the time are left out: they differ between like answers.
 */
fun answerFormOf(head: AnswerHead): AnswerForm =
    AnswerForm(
        head.status,
        HopByHopHeaders
            .strip(head.headers)
            .map { it.name.lowercase() }
            .filterNot { it in VARYING_NAMES }
            .toPersistentList(),
    )

private val VARYING_NAMES = setOf("content-length", "date", "retry-after")
