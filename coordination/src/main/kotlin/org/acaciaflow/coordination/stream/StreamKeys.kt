package org.acaciaflow.coordination.stream

import org.acaciaflow.state.stream.StreamKey
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Computes the keys of streams, which are the same at every gateway and of one size, whatever ids callers send. */
internal object StreamKeys {
    fun keyOf(stream: StreamIdentity): StreamKey {
        // The length keeps an id that ends like a host from being taken for another id.
        val host = stream.place.host
        val text = "${host.length}:$host${stream.requestId}"
        val digest = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
        return StreamKey(high = digest.getLong(), low = digest.getLong())
    }
}
