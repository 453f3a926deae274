package org.acaciaflow.standin

import io.kotest.core.config.AbstractProjectConfig
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Ends a test that hangs, so that a fault shows as a failure. */
class ProjectConfig : AbstractProjectConfig() {
    override val timeout: Duration = 60.seconds
}
