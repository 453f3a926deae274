package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** The group of commands about deployments. */
internal class DeploymentCommand : CliktCommand(name = "deployment") {
    override fun help(context: Context): String = "Works on the configuration of deployments."

    override fun run() = Unit
}
