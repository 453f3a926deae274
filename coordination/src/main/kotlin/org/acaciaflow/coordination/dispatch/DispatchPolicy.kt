package org.acaciaflow.coordination.dispatch

import org.acaciaflow.coordination.queue.QueuePolicy
import org.acaciaflow.coordination.selection.SelectionPolicy

/** The switches of dispatching: which waiting request goes next, and where to. */
data class DispatchPolicy(
    val queue: QueuePolicy,
    val selection: SelectionPolicy,
)
