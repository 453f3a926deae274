package org.acaciaflow.standin.trial

/** One call of the trial and what its answer must be; [identity] is set when the call must not repeat. */
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

/** What makes an answer right. */
internal sealed interface Expectation {
    /** The exact bytes that the stand-in engine gives. */
    data class ExactBody(
        val text: String,
    ) : Expectation

    /** The stand-in service's echo of this call; [executions] when the call is counted. */
    data class Echo(
        val executions: Int?,
    ) : Expectation
}
