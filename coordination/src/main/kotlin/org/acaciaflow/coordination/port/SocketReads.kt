package org.acaciaflow.coordination.port

/** Tells when the sockets of this process have been read. */
fun interface SocketReads {
    /** Suspends until all sockets have been read once more, and closed connections have been reported as such. */
    suspend fun awaitNext()
}
