package org.acaciaflow.coordination.dispatch

import org.acaciaflow.coordination.queue.QueuePolicy
import org.acaciaflow.coordination.selection.SelectionPolicy

/** Policies that choose the next waiting request and the backend server for it. */
data class DispatchPolicy(
    val queue: QueuePolicy,
    val selection: SelectionPolicy,
)
