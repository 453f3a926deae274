package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentMap
import org.acaciaflow.state.stream.BegunStream
import org.acaciaflow.state.stream.StreamKey
import kotlin.time.Duration
import kotlin.time.Instant

/** Remembers the streams that began at this gateway, the oldest first. */
internal object BegunStreams {
    /** Adds [stream]; of more than [MAXIMUM_COUNT], the oldest is removed. */
    fun with(
        streams: PersistentMap<StreamKey, BegunStream>,
        stream: BegunStream,
    ): PersistentMap<StreamKey, BegunStream> {
        val added = streams.remove(stream.record.key).put(stream.record.key, stream)
        return if (added.size > MAXIMUM_COUNT) added.remove(added.keys.first()) else added
    }

    /** Removes the streams that began more than [lifetime] before [now]. */
    fun pruned(
        streams: PersistentMap<StreamKey, BegunStream>,
        lifetime: Duration,
        now: Instant,
    ): PersistentMap<StreamKey, BegunStream> =
        streams.values
            .takeWhile { now - it.at >= lifetime }
            .fold(streams) { rest, old -> rest.remove(old.record.key) }

    private const val MAXIMUM_COUNT = 50_000 // some 10 MB
}
