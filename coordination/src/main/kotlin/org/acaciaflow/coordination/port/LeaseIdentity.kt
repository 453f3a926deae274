package org.acaciaflow.coordination.port

/** A lease granted by the store. */
@JvmInline
value class LeaseIdentity(
    val number: Long,
)
