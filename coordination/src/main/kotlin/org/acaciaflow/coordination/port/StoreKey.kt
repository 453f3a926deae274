package org.acaciaflow.coordination.port

/** A key of the platform's key-value service. */
@JvmInline
value class StoreKey(
    val path: String,
) {
    /** The key below this one. */
    operator fun div(child: String): StoreKey = StoreKey("$path/$child")
}
