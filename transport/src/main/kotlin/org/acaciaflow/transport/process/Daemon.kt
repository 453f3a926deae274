package org.acaciaflow.transport.process

/** A long-running process of the system. */
interface Daemon {
    /** Binds all ports and starts serving. */
    suspend fun start()

    /** Announces the shutdown, drains the work in progress within a time limit, and returns. */
    suspend fun stop()

    /** Handles a request to reload the settings file; does nothing by default. */
    fun reload() = Unit
}
