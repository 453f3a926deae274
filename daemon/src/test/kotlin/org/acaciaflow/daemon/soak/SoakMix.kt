package org.acaciaflow.daemon.soak

/** The faults of servers that a soak can be run with, by the name that the command line takes. */
internal enum class SoakMix(
    val text: String,
    val faults: FaultMix,
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
