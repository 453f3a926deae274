package org.acaciaflow.state.configuration

import kotlinx.collections.immutable.PersistentList

/** The conditions that select a call; all of them must hold. */
data class CallMatch(
    val conditions: PersistentList<CallCondition>,
)
