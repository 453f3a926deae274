package org.acaciaflow.transport.process

import org.acaciaflow.coordination.relay.StopNotice

/** The shutdown request of a daemon, shared by its components. */
internal class StopFlag {
    @Volatile
    var notice: StopNotice? = null

    val requested: Boolean
        get() = notice != null
}
