package org.acaciaflow.standin

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.acaciaflow.standin.exercise.ExerciseCommand
import org.acaciaflow.standin.load.DecisionCostCommand
import org.acaciaflow.standin.load.LoadCommand
import org.acaciaflow.standin.trial.TrialCommand

/** Entry point of the stand-ins and of the tools that test against them. */
fun main(arguments: Array<String>) {
    StandinRoot()
        .subcommands(StandinsCommand(), TrialCommand(), LoadCommand(), DecisionCostCommand(), ExerciseCommand())
        .main(arguments)
}

private class StandinRoot : CoreCliktCommand(name = "acaciaflow-standin") {
    init {
        context { exitProcess = { kotlin.system.exitProcess(it) } }
    }

    override fun run() = Unit
}
