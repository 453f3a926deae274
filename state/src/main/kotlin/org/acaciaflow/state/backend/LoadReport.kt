package org.acaciaflow.state.backend

/**
 * Load as a sidecar last told it; it lags behind the truth.
 *
 * [running] counts all exchanges in progress, [runningForReader] those of the gateway that reads the report.
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
