package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand

/** `acaciaflow deployment`: the parent of the commands on deployments. */
internal class DeploymentCommand : CoreCliktCommand(name = "deployment") {
    override fun help(context: Context): String = "Manages the configuration of deployments."

    override fun run() = Unit
}
