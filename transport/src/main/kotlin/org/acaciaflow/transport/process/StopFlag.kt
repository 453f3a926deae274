package org.acaciaflow.transport.process

/** Tells all parts of a daemon that it has been asked to stop. */
internal class StopFlag {
    @Volatile
    var requested = false
}
