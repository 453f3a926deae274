package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand

/** `acaciaflow engine`: the parent of the commands on engines. */
internal class EngineCommand : CoreCliktCommand(name = "engine") {
    override fun help(context: Context): String = "Manages the planned state of engines."

    override fun run() = Unit
}
