package org.acaciaflow.coordination.crash

import kotlinx.coroutines.CompletableDeferred
import org.acaciaflow.state.crash.CrashSubject

/** An attempt with [subjects] at a backend server; completing [givenUp] ends it unless its answer has begun. */
internal class StartingAttempt(
    val subjects: List<CrashSubject>,
    val givenUp: CompletableDeferred<Unit>,
)
