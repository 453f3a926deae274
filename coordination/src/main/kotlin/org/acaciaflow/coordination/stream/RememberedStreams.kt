package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.state.stream.BegunStream
import kotlin.time.Duration
import kotlin.time.Instant

/** The streams that began at this process, the least recently used first. */
data class RememberedStreams(
    val streams: PersistentMap<StreamIdentity, BegunStream>,
) {
    /** Returns these streams with [stream] as the most recently used one. */
    fun with(
        stream: StreamIdentity,
        begun: BegunStream,
    ): RememberedStreams = RememberedStreams(streams.remove(stream).put(stream, begun))

    /** Returns these streams without what was last used more than [retention] before [now], and at most [maximum] streams. */
    fun withoutOld(
        retention: Duration,
        maximum: Int,
        now: Instant,
    ): RememberedStreams {
        var kept = streams
        while (kept.isNotEmpty()) {
            val (stream, oldest) = kept.entries.first()
            if (kept.size <= maximum && now - oldest.at <= retention) break
            kept = kept.remove(stream)
        }
        return RememberedStreams(kept)
    }

    companion object {
        val NONE = RememberedStreams(persistentMapOf())
    }
}
