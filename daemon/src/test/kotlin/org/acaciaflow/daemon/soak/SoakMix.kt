package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.persistentListOf

/** The faults of servers that a soak can be run with, by the name that the command line takes. */
internal enum class SoakMix(
    val text: String,
    val faults: FaultMix,
    val plainServers: Int = 3,
    /** How many of the [plainServers] are sound. */
    val soundPlainServers: Int = 0,
) {
    QUIET("quiet", SOUND_SERVERS),
    STUTTER("stutter", SOUND_SERVERS.copy(stutter = 0.4)),
    STUTTER_AND_FAILURES("stutter-and-failures", FAILING_SERVERS.copy(stutter = 0.4)),
    LOST_ANSWERS(
        "lost-answers",
        FAILING_SERVERS.copy(lost = 0.06, mute = 0.03, reset = 0.05, cutShort = 0.06, stutter = 0.2),
    ),

    /** Also second answers where the true one is lost, which no gateway can tell from a true one. */
    EVERYTHING("everything", FAILING_SERVERS.copy(lost = 0.06, stutter = 0.4, stuttersInsteadOfLost = true)),

    /** Second answers that are counted from the arrival: they stand before failures that are slow or never arrive. */
    EARLY_SECOND_ANSWERS("early-second-answers", EARLY_SECOND_ANSWER_SERVERS),

    /** The same at the engines and at half of the plain servers; the others are sound. */
    EARLY_SECOND_ANSWERS_HALF(
        "early-second-answers-half",
        EARLY_SECOND_ANSWER_SERVERS,
        plainServers = 4,
        soundPlainServers = 2,
    ),
    ;

    /** The faults of the plain server with [number], which counts from 0. */
    fun faultsOfPlainServer(number: Int): FaultMix = if (number < soundPlainServers) SOUND_SERVERS else faults
}

/** The mix that is called [text]. */
internal fun soakMix(text: String): SoakMix =
    requireNotNull(
        SoakMix.entries.firstOrNull {
            it.text == text
        },
    ) { "mix $text is none of ${SoakMix.entries.map { it.text }}" }

private val SOUND_SERVERS = FaultMix(chunked = 0.3, untilClose = 0.05, closing = 0.05, longestWorkMilliseconds = 60)

private val FAILING_SERVERS =
    SOUND_SERVERS.copy(
        serverError = 0.12,
        timeLimit = 0.03,
        refusal = 0.12,
        reset = 0.02,
        mute = 0.01,
        lost = 0.01,
        cutShort = 0.03,
        nonsenseBefore = 0.01,
        nonsenseInstead = 0.01,
        early = 0.03,
        interim = 0.03,
        handleLost = 0.1,
    )

private val EARLY_SECOND_ANSWER_SERVERS =
    SOUND_SERVERS.copy(
        serverError = 0.03,
        refusal = 0.03,
        stutter = 0.4,
        stutterMoments = persistentListOf(StutterMomentKind.AFTER_ARRIVAL),
        stutterContents = persistentListOf(StutterContent.SmallSuccess),
        longestWorkMilliseconds = 20,
        slowFailures = SlowFailures(serverError = 0.1, timeLimit = 0.05, hang = 0.02, lost = 0.02),
    )
