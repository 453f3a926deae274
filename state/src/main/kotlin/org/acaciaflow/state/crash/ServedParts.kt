package org.acaciaflow.state.crash

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf

/**
 * The keys of the prompt parts of recently served requests, in two generations to bound them.
 *
 * [recent] is added to; [former] is what it held before it was last full.
 */
data class ServedParts(
    val recent: PersistentSet<Long>,
    val former: PersistentSet<Long>,
) {
    val isEmpty: Boolean
        get() = recent.isEmpty() && former.isEmpty()

    operator fun contains(key: Long): Boolean = key in recent || key in former

    companion object {
        val NONE = ServedParts(persistentSetOf(), persistentSetOf())
    }
}
