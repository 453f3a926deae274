package org.acaciaflow.transport.process

/** A process of the system. */
interface Daemon {
    /** Binds all ports and starts serving. */
    suspend fun start()

    /** Takes no new work after a while, finishes what runs, then ends. */
    suspend fun stop()

    /** Takes note that the settings file has changed. */
    fun reload() = Unit
}
