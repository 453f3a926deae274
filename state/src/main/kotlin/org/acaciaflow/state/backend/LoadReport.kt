package org.acaciaflow.state.backend

/**
 * Load of a backend server as last reported by its sidecar; it lags behind the actual load.
 *
 * [running] counts all exchanges in flight, [runningForReader] those sent by the gateway that receives the report.
 * [capacity] is the maximum number of exchanges, [waitingPromptTokens] the prompt tokens that await prefill.
 */
data class LoadReport(
    val running: Int,
    val runningForReader: Int,
    val capacity: Int,
    val waitingPromptTokens: Int,
) {
    companion object {
        val NONE = LoadReport(running = 0, runningForReader = 0, capacity = 0, waitingPromptTokens = 0)
    }
}
