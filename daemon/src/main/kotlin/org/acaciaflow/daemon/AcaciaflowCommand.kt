package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The root of the command line. */
internal class AcaciaflowCommand : CliktCommand(name = "acaciaflow") {
    override fun help(context: Context): String = "Serves language models from a fixed fleet."

    override fun run() = Unit
}
