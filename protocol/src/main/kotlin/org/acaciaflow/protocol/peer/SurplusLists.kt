package org.acaciaflow.protocol.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.peer.ReportedSurplus
import kotlin.time.Duration.Companion.milliseconds

/** Returns the surplus answers in [message]; an entry without an age is left out. */
internal fun surplusOf(message: PeerMessage): PersistentList<ReportedSurplus> =
    message.surplusLives
        .zip(message.surplusAgesMilliseconds) { lifeCode, age ->
            ReportedSurplus(lifeCode, age.coerceAtLeast(0).milliseconds)
        }.toPersistentList()
