package org.acaciaflow.state.work

import kotlinx.collections.immutable.PersistentList

/** Status and headers of an answer. */
data class AnswerHead(
    val status: Int,
    val headers: PersistentList<HeaderField>,
)
