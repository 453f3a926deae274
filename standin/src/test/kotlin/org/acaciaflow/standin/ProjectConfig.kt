package org.acaciaflow.standin

import io.kotest.core.config.AbstractProjectConfig
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Fails a test that hangs instead of letting it block the build. */
class ProjectConfig : AbstractProjectConfig() {
    override val timeout: Duration = 60.seconds
}
