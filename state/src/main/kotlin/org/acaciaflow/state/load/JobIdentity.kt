package org.acaciaflow.state.load

/** The sequence number of a job within this gateway process. */
@JvmInline
value class JobIdentity(
    val number: Long,
)
