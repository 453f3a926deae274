package org.acaciaflow.transport.process

import org.acaciaflow.coordination.relay.StopNotice

/** Tells all parts of a daemon that it has been asked to stop. */
internal class StopFlag {
    @Volatile
    var notice: StopNotice? = null

    val requested: Boolean
        get() = notice != null
}
