package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand

/** The group of commands about engines. */
internal class EngineCommand : CoreCliktCommand(name = "engine") {
    override fun help(context: Context): String = "Plans what engines are set to."

    override fun run() = Unit
}
