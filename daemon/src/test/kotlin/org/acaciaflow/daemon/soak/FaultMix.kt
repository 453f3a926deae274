package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlin.random.Random

/**
 * The faults of a server, as shares of its arrivals from 0 to 1; a share of 0 switches the fault off.
 *
 * The verdict, the delivery and the stutter of an arrival are drawn apart from each other, so that each meets each.
 * What each fault does is said at [Verdict], [Delivery], [StutterMoment] and [StutterContent].
 */
internal data class FaultMix(
    val serverError: Double = 0.0,
    val timeLimit: Double = 0.0,
    val refusal: Double = 0.0,
    val reset: Double = 0.0,
    val mute: Double = 0.0,
    val lost: Double = 0.0,
    val cutShort: Double = 0.0,
    val nonsenseBefore: Double = 0.0,
    val nonsenseInstead: Double = 0.0,
    val early: Double = 0.0,
    val interim: Double = 0.0,
    val stutter: Double = 0.0,
    val stutterMoments: PersistentList<StutterMomentKind> = MOMENTS_BEHIND_TRUE_ANSWER,
    val stutterContents: PersistentList<StutterContent> = ALL_CONTENTS,
    /** True if a second answer is also written where the true one is lost; no reader can then tell it from a true one. */
    val stuttersInsteadOfLost: Boolean = false,
    val chunked: Double = 0.0,
    val untilClose: Double = 0.0,
    val closing: Double = 0.0,
    val handleLost: Double = 0.0,
    val longestWorkMilliseconds: Long = 0,
    val slowFailures: SlowFailures = SlowFailures(),
    /** Answers that fall silent for half a second to nearly two, and go on. */
    val silent: Double = 0.0,
) {
    /** Draws the plan for one arrival; each call takes its choices from [random] in the same order. */
    fun draw(random: Random): ArrivalPlan {
        val drawnVerdict = verdict(random)
        val drawnDelivery = delivery(random)
        val drawnStutter = stutter(random)
        val drawnFraming = framing(random)
        val closes = random.nextDouble() < closing
        val work = random.nextLong(longestWorkMilliseconds + 1)
        val losesHandle = random.nextDouble() < handleLost
        val slowFailure = slowFailures.draw(random)
        val silence = random.nextLong(SHORTEST_SILENCE_MILLISECONDS, LONGEST_SILENCE_MILLISECONDS)
        val isSilent = random.nextDouble() < silent
        val delivery = slowFailure?.delivery ?: drawnDelivery
        val stutter = drawnStutter?.takeIf { mayStutter(it.moment, delivery) }
        // After a body that ends with its connection, a second answer would belong to it, and its cut end would look whole:
        // also if the server's life ends while the answer is silent.
        val hasEnd = stutter == null && delivery.writesWhole && !isSilent
        val framing = if (hasEnd || drawnFraming != Framing.UNTIL_CLOSE) drawnFraming else Framing.LENGTH
        return ArrivalPlan(
            verdict = slowFailure?.verdict ?: drawnVerdict,
            delivery = delivery,
            stutter = stutter,
            framing = framing,
            closesAfterwards = stutter == null && (closes || framing == Framing.UNTIL_CLOSE),
            workMilliseconds = work,
            losesHandle = losesHandle,
            silenceMilliseconds = if (isSilent) silence else 0,
        )
    }

    /** A second answer that is counted from the arrival does not depend on what becomes of the true one. */
    private fun mayStutter(
        moment: StutterMoment,
        delivery: Delivery,
    ): Boolean = stuttersInsteadOfLost || delivery.writesWhole || moment is StutterMoment.AfterArrival

    private fun verdict(random: Random): Verdict {
        val limit = random.nextLong(SHORTEST_LIMIT_MILLISECONDS, LONGEST_LIMIT_MILLISECONDS)
        val retryAfter = random.nextInt(LONGEST_RETRY_AFTER_SECONDS + 1).takeIf { it > 0 }
        val choices =
            listOf(
                serverError to Verdict.ServerError,
                timeLimit to Verdict.TimeLimit(limit),
                refusal to Verdict.Refusal(retryAfter),
            )
        return choose(random, choices) ?: Verdict.Success
    }

    private fun delivery(random: Random): Delivery {
        val flag = random.nextBoolean()
        val choices =
            listOf(
                reset to Delivery.Reset,
                mute to Delivery.Mute,
                lost to Delivery.Lost(closes = flag),
                cutShort to Delivery.CutShort(resets = flag),
                nonsenseBefore to Delivery.NonsenseBefore,
                nonsenseInstead to Delivery.NonsenseInstead,
                early to Delivery.Early,
                interim to Delivery.AfterInterim(if (flag) CONTINUE else EARLY_HINTS),
            )
        return choose(random, choices) ?: Delivery.Whole
    }

    private fun stutter(random: Random): Stutter? {
        val isDrawn = random.nextDouble() < stutter
        val later = StutterMoment.Later(random.nextLong(1, LATEST_MILLISECONDS + 1))
        val moment =
            when (stutterMoments.randomOrNull(random)) {
                null -> return null
                StutterMomentKind.AT_ONCE -> StutterMoment.AtOnce
                StutterMomentKind.SAME_WRITE -> StutterMoment.SameWrite
                StutterMomentKind.LATER -> later
                StutterMomentKind.WITH_NEXT_REQUEST -> StutterMoment.WithNextRequest
                StutterMomentKind.AFTER_ARRIVAL ->
                    StutterMoment.AfterArrival(random.nextLong(EARLIEST_AFTER_ARRIVAL, LATEST_AFTER_ARRIVAL + 1))
                StutterMomentKind.SOON_AFTER_ARRIVAL ->
                    StutterMoment.AfterArrival(random.nextLong(EARLIEST_SOON, LATEST_SOON + 1))
            }
        val content = stutterContents.randomOrNull(random) ?: return null
        return Stutter(moment, content).takeIf { isDrawn }
    }

    private fun framing(random: Random): Framing =
        choose(random, listOf(chunked to Framing.CHUNKED, untilClose to Framing.UNTIL_CLOSE)) ?: Framing.LENGTH

    companion object {
        val ALL_CONTENTS: PersistentList<StutterContent> =
            persistentListOf(
                StutterContent.SmallSuccess,
                StutterContent.ExactCopy,
                StutterContent.WholeSuccess,
                StutterContent.Failure,
                StutterContent.EventStream,
                StutterContent.WithoutId,
            )

        /** No fault at all. */
        val SOUND = FaultMix()

        private const val SHORTEST_LIMIT_MILLISECONDS = 20L
        private const val LONGEST_LIMIT_MILLISECONDS = 400L
        private const val LONGEST_RETRY_AFTER_SECONDS = 1
        private const val LATEST_MILLISECONDS = 300L

        /** Behind a sound run of the mixes that have this moment, and before most of their slow failures. */
        private const val EARLIEST_AFTER_ARRIVAL = 80L
        private const val LATEST_AFTER_ARRIVAL = 200L
        private const val EARLIEST_SOON = 60L
        private const val LATEST_SOON = 100L
        private const val SHORTEST_SILENCE_MILLISECONDS = 500L
        private const val LONGEST_SILENCE_MILLISECONDS = 1_800L
        private const val CONTINUE = 100
        private const val EARLY_HINTS = 103
    }
}

/** Takes one number from [random] and returns the choice in whose share it lies, null beyond all of them. */
internal fun <T> choose(
    random: Random,
    choices: List<Pair<Double, T>>,
): T? {
    val drawn = random.nextDouble()
    var sum = 0.0
    for ((share, choice) in choices) {
        sum += share
        if (drawn < sum) return choice
    }
    return null
}
