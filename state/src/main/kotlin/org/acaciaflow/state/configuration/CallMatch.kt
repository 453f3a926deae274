package org.acaciaflow.state.configuration

import kotlinx.collections.immutable.PersistentList

/** The conditions by which a call is recognised; all of them must hold. */
data class CallMatch(
    val conditions: PersistentList<CallCondition>,
)
