package org.acaciaflow.coordination.port

/** Identity of a lease that the store granted. */
@JvmInline
value class LeaseIdentity(
    val number: Long,
)
