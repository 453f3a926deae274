package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand

/** The root of the command line. */
internal class AcaciaflowCommand : CoreCliktCommand(name = "acaciaflow") {
    override fun help(context: Context): String = "Serves language models from a fixed fleet."

    override fun run() = Unit
}
