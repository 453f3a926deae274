package org.acaciaflow.state.load

/** The number of one piece of work inside this gateway process. */
@JvmInline
value class JobIdentity(
    val number: Long,
)
