package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.persistentMapOf
import java.util.concurrent.atomic.AtomicReference

/** The handles of prefilled requests that engines keep, by the value of `Kv-Source` that names them. */
internal class HandleTable {
    private val handles = AtomicReference(persistentMapOf<String, KeptHandle>())

    /** Keeps the handle [source] of the request [requestId] for a few seconds from [now]. */
    fun keep(
        source: String,
        requestId: String,
        now: Long,
    ) {
        handles.updateAndGet { it.put(source, KeptHandle(requestId, now + RETENTION_MILLISECONDS)) }
    }

    /** Removes the handle [source] and returns the id of its request; null if it is unknown, taken or expired. */
    fun take(
        source: String,
        now: Long,
    ): String? {
        val handle = handles.getAndUpdate { it.remove(source) }[source]
        return handle?.takeIf { it.expiresAtMilliseconds > now }?.requestId
    }

    /** Removes all handles of the engine at [address], as at its restart. */
    fun forget(address: String) {
        handles.updateAndGet { kept ->
            kept.keys.filter { it.startsWith("$address/") }.fold(kept) { rest, source -> rest.remove(source) }
        }
    }

    /** The number of handles that the engine at [address] keeps at [now]. */
    fun count(
        address: String,
        now: Long,
    ): Int =
        handles.get().count { (source, handle) ->
            source.startsWith("$address/") &&
                handle.expiresAtMilliseconds > now
        }

    private data class KeptHandle(
        val requestId: String,
        val expiresAtMilliseconds: Long,
    )

    private companion object {
        const val RETENTION_MILLISECONDS = 4_000L
    }
}
