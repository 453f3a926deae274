package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand

/** The group of commands about deployments. */
internal class DeploymentCommand : CoreCliktCommand(name = "deployment") {
    override fun help(context: Context): String = "Works on the configuration of deployments."

    override fun run() = Unit
}
