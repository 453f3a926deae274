package org.acaciaflow.coordination.port

/** Runs the lasting loops of a process. */
interface LoopSupervisor {
    /**
     * Runs [loop] until it returns or the process ends, and starts it again after a pause whenever it throws.
     *
     * [name] identifies the loop in the log and in the status of the process.
     */
    fun startLoop(
        name: String,
        loop: suspend () -> Unit,
    )
}
