package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.subcommands

/** The root command; [exit] terminates the process with a status. */
internal class AcaciaflowCommand(
    exit: (Int) -> Unit,
) : CoreCliktCommand(name = "acaciaflow") {
    init {
        context { exitProcess = exit }
    }

    override fun help(context: Context): String = "Serves language models from a fixed fleet."

    override fun run() = Unit
}

/** Creates the root command with all subcommands. */
internal fun createCommandLine(exit: (Int) -> Unit): AcaciaflowCommand =
    AcaciaflowCommand(exit).subcommands(
        GatewayCommand(),
        SidecarCommand(),
        UnresolvedCommand(),
        EngineCommand().subcommands(EngineAssignCommand()),
        WarmUpCommand(),
        DeploymentCommand().subcommands(DeploymentApplyCommand()),
    )
