package org.acaciaflow.state.work

import kotlinx.collections.immutable.PersistentList

/** The HTTP status and headers of an answer. */
data class AnswerHead(
    val status: Int,
    val headers: PersistentList<HeaderField>,
)
