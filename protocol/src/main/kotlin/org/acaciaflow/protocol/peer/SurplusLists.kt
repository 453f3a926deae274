package org.acaciaflow.protocol.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.peer.ReportedSurplus
import kotlin.time.Duration.Companion.milliseconds

/** Returns the surplus answers in [message]; an entry without an age or an isolation time is left out. */
internal fun surplusOf(message: PeerMessage): PersistentList<ReportedSurplus> =
    message.surplusLives
        .mapIndexedNotNull { index, lifeCode ->
            val age = message.surplusAgesMilliseconds.getOrNull(index) ?: return@mapIndexedNotNull null
            val isolation = message.surplusIsolationsMilliseconds.getOrNull(index) ?: return@mapIndexedNotNull null
            ReportedSurplus(lifeCode, age.coerceAtLeast(0).milliseconds, isolation.coerceAtLeast(0).milliseconds)
        }.toPersistentList()
