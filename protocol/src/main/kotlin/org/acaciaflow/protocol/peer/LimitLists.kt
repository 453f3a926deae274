package org.acaciaflow.protocol.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.state.peer.ReportedLimit
import org.acaciaflow.state.peer.ReportedLimitWord
import kotlin.math.roundToInt
import kotlin.time.Duration.Companion.milliseconds

/** Stands for the end of a limit among the limits in [PeerMessage]. */
internal const val LIMIT_ENDED = -1.0

private const val THOUSANDTHS = 1000.0

/** Returns the limits in [message]; entries that are no limit are left out. */
internal fun limitsOf(message: PeerMessage): PersistentList<ReportedLimit> =
    message.limitLives
        .mapIndexedNotNull { index, lifeCode ->
            wordOf(message.limitsPerSecond[index])?.let { word ->
                ReportedLimit(
                    lifeCode = lifeCode,
                    word = word,
                    age = message.limitAgesMilliseconds[index].coerceAtLeast(0).milliseconds,
                    demand = message.limitDemandThousandths[index].coerceAtLeast(0) / THOUSANDTHS,
                )
            }
        }.toPersistentList()

/** The number for [word] in [PeerMessage]. */
internal fun numberOf(word: ReportedLimitWord): Double =
    when (word) {
        is ReportedLimitWord.Named -> word.perSecond
        ReportedLimitWord.Ended -> LIMIT_ENDED
    }

/** The demand of [limit] in thousandths of a request a second. */
internal fun demandThousandths(limit: ReportedLimit): Int = (limit.demand * THOUSANDTHS).roundToInt()

private fun wordOf(number: Double): ReportedLimitWord? =
    when {
        number == LIMIT_ENDED -> ReportedLimitWord.Ended
        number.isFinite() && number >= 0.0 -> ReportedLimitWord.Named(number)
        else -> null
    }
