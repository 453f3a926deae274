package org.acaciaflow.coordination.plain

import org.acaciaflow.state.fleet.BackendEntry

/** The server [backend] was selected for a call; [setAside] candidates were left out because they are isolated. */
data class PlainChoice(
    val backend: BackendEntry,
    val setAside: Int,
)
