package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.main
import kotlin.system.exitProcess

/** Entry point of the `acaciaflow` command. */
fun main(arguments: Array<String>) {
    // Building the command tree takes a seventh of the processor time of a start, and callers wait for this one.
    if (arguments.contentEquals(arrayOf("gateway"))) exitProcess(PlatformGateway.run())
    createCommandLine { exitProcess(it) }.main(arguments)
}
