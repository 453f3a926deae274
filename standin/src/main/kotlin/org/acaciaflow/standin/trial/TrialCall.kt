package org.acaciaflow.standin.trial

/** A call of the trial and its expected answer; [identity] is set for a call that must be executed at most once. */
internal data class TrialCall(
    val kind: String,
    val rank: String,
    val method: String,
    val target: String,
    val headers: Map<String, String>,
    val body: String?,
    val expectation: Expectation,
    val identity: String? = null,
)

/** Expected content of an answer. */
internal sealed interface Expectation {
    /** The exact body that the stand-in engine sends. */
    data class ExactBody(
        val text: String,
    ) : Expectation

    /** The stand-in service's echo of the call; [executions] is null when the service does not count the call. */
    data class Echo(
        val executions: Int?,
    ) : Expectation
}
