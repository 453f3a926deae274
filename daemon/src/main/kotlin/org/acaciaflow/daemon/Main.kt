package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Entry point of the `acaciaflow` command. */
fun main(arguments: Array<String>) {
    AcaciaflowCommand()
        .subcommands(
            GatewayCommand(),
            SidecarCommand(),
            UnresolvedCommand(),
            EngineCommand().subcommands(EngineAssignCommand()),
            WarmUpCommand(),
            DeploymentCommand().subcommands(DeploymentApplyCommand()),
        ).main(arguments)
}
