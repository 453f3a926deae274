package org.acaciaflow.state.work

/** The predicted size of a request in tokens; a call to a plain service counts as [PLAIN_CALL]. */
data class WorkEstimate(
    val promptTokens: Int,
    val outputTokens: Int,
) {
    /** Work in output tokens; [PROMPT_TOKENS_PER_OUTPUT_TOKEN] prompt tokens cost as much as one output token. */
    val units: Double
        get() = promptTokens.toDouble() / PROMPT_TOKENS_PER_OUTPUT_TOKEN + outputTokens

    companion object {
        const val PROMPT_TOKENS_PER_OUTPUT_TOKEN = 20
        val PLAIN_CALL = WorkEstimate(promptTokens = 0, outputTokens = 1)
    }
}
