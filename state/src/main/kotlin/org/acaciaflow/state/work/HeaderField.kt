package org.acaciaflow.state.work

/** One HTTP header line, with the case that its sender used. */
data class HeaderField(
    val name: String,
    val value: String,
)
