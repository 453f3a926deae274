package org.acaciaflow.state.work

/** An HTTP header field; the case of its name is kept as sent. */
data class HeaderField(
    val name: String,
    val value: String,
)
