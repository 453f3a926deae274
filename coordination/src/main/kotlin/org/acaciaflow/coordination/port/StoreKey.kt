package org.acaciaflow.coordination.port

/** A key of the platform's key-value service. */
@JvmInline
value class StoreKey(
    val path: String,
) {
    /** Returns the key of [child] below this one. */
    operator fun div(child: String): StoreKey = StoreKey("$path/$child")
}
