package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The group of commands about engines. */
internal class EngineCommand : CliktCommand(name = "engine") {
    override fun help(context: Context): String = "Plans what engines are set to."

    override fun run() = Unit
}
