package org.acaciaflow.protocol.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.peer.ReportedSurplus
import kotlin.time.Duration.Companion.milliseconds

/** Returns the surplus answers in [message]; an entry without an age or an isolation time is left out, forms may be. */
internal fun surplusOf(message: PeerMessage): PersistentList<ReportedSurplus> {
    val forms = formsOf(message)
    return message.surplusLives
        .mapIndexedNotNull { index, lifeCode ->
            val age = message.surplusAgesMilliseconds.getOrNull(index) ?: return@mapIndexedNotNull null
            val isolation = message.surplusIsolationsMilliseconds.getOrNull(index) ?: return@mapIndexedNotNull null
            ReportedSurplus(
                lifeCode,
                age.coerceAtLeast(0).milliseconds,
                isolation.coerceAtLeast(0).milliseconds,
                forms.getOrNull(index).orEmpty().toPersistentList(),
            )
        }.toPersistentList()
}

/** Returns the forms of each surplus answer in [message]; empty if they don't add up to those that it has. */
private fun formsOf(message: PeerMessage): List<List<Long>> {
    val counts = message.surplusFormCounts
    val isSound = counts.all { it in 0..message.surplusForms.size } && counts.sum() == message.surplusForms.size
    if (!isSound) return emptyList()
    val ends = counts.runningFold(0, Int::plus)
    return ends.zipWithNext { from, until -> message.surplusForms.subList(from, until) }
}
