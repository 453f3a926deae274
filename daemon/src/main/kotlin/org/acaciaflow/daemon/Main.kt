package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.main
import kotlin.system.exitProcess

/** Entry point of the `acaciaflow` command. */
fun main(arguments: Array<String>) {
    // Skips the command tree: building it takes a seventh of the CPU time of this start, for which callers wait.
    if (arguments.contentEquals(arrayOf("gateway"))) exitProcess(PlatformGateway.run())
    createCommandLine { exitProcess(it) }.main(arguments)
}
