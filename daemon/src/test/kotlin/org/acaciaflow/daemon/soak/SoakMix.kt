package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The faults of servers that a soak can be run with, by the name that the command line takes. */
internal enum class SoakMix(
    val text: String,
    val faults: FaultMix,
    val plainServers: Int = 3,
    /** How many of the [plainServers] are sound. */
    val soundPlainServers: Int = 0,
    val engineFaults: FaultMix = faults,
) {
    QUIET("quiet", SOUND_SERVERS),
    STUTTER("stutter", SOUND_SERVERS.copy(stutter = 0.4)),
    STUTTER_AND_FAILURES("stutter-and-failures", FAILING_SERVERS.copy(stutter = 0.4)),

    /** Servers that fail, answer twice, and fall silent within a fifth of their answers and go on. */
    SILENCES("silences", FAILING_SERVERS.copy(stutter = 0.1, silent = 0.2)),
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

    /** Few second answers, each with a body of its own and the head of a true success, at all plain servers. */
    RARE_OWN_BODIES("rare-own-bodies", RARE_OWN_BODY_SERVERS, plainServers = 4, engineFaults = SOUND_SERVERS),

    /** The same beside one sound plain server. */
    RARE_OWN_BODIES_MOST(
        "rare-own-bodies-most",
        RARE_OWN_BODY_SERVERS,
        plainServers = 5,
        soundPlainServers = 1,
        engineFaults = SOUND_SERVERS,
    ),

    /** Few second answers, each with a body of its own and a bare head, at all plain servers. */
    RARE_BARE_HEADS(
        "rare-bare-heads",
        RARE_OWN_BODY_SERVERS.copy(stutterContents = ownBodies(OwnHead.BARE)),
        plainServers = 4,
        engineFaults = SOUND_SERVERS,
    ),

    /** Rare second answers at many servers, so that most that come first are the first of their server's life. */
    RARE_OWN_BODIES_MANY(
        "rare-own-bodies-many",
        RARE_OWN_BODY_SERVERS.copy(stutter = 0.02),
        plainServers = 16,
        engineFaults = SOUND_SERVERS,
    ),

    /** The same with bare heads. */
    RARE_BARE_HEADS_MANY(
        "rare-bare-heads-many",
        RARE_OWN_BODY_SERVERS.copy(stutter = 0.02, stutterContents = ownBodies(OwnHead.BARE)),
        plainServers = 16,
        engineFaults = SOUND_SERVERS,
    ),

    /** Many second answers, each with a body of its own and the head of a true success, at all plain servers. */
    DENSE_OWN_BODIES(
        "dense-own-bodies",
        RARE_OWN_BODY_SERVERS.copy(stutter = 0.35),
        plainServers = 4,
        engineFaults = SOUND_SERVERS,
    ),

    /** As rare-own-bodies, but no slow failure arrives: connections stay silent, or end, the most soon behind a success. */
    LONE_SUCCESSES(
        "lone-successes",
        RARE_OWN_BODY_SERVERS.copy(slowFailures = SlowFailures(hang = 0.08, lost = 0.06, lostSoon = 0.14)),
        plainServers = 4,
        engineFaults = SOUND_SERVERS,
    ),

    /** Many second answers with bodies of their own; behind the wrong ones the failure comes about a second later. */
    SECOND_LATE_FAILURES(
        "second-late-failures",
        SECOND_LATE_FAILURE_SERVERS,
        plainServers = 4,
        engineFaults = SOUND_SERVERS,
    ),

    /** The same at half of the plain servers; the others are sound. */
    SECOND_LATE_FAILURES_HALF(
        "second-late-failures-half",
        SECOND_LATE_FAILURE_SERVERS,
        plainServers = 4,
        soundPlainServers = 2,
        engineFaults = SOUND_SERVERS,
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

private val RARE_OWN_BODY_SERVERS =
    SOUND_SERVERS.copy(
        serverError = 0.03,
        refusal = 0.03,
        stutter = 0.04,
        stutterMoments = persistentListOf(StutterMomentKind.SOON_AFTER_ARRIVAL),
        stutterContents = ownBodies(OwnHead.TRUE_FORM),
        longestWorkMilliseconds = 40,
        slowFailures = SlowFailures(serverError = 0.14, timeLimit = 0.06, hang = 0.03, lost = 0.02, lostSoon = 0.03),
    )

private val SECOND_LATE_FAILURE_SERVERS =
    RARE_OWN_BODY_SERVERS.copy(
        stutter = 0.35,
        slowFailures =
            SlowFailures(serverError = 0.2, shortestWorkMilliseconds = 1_100, longestWorkMilliseconds = 1_200),
    )

private fun ownBodies(head: OwnHead): PersistentList<StutterContent> =
    persistentListOf(StutterContent.OwnBody(head, OwnLength.SHORT), StutterContent.OwnBody(head, OwnLength.FULL))
