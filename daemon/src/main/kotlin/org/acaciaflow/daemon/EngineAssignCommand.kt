package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.enum
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.runBlocking
import org.acaciaflow.coordination.plan.PlanEdit
import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.transport.process.assignEngine

/** `acaciaflow engine assign`: sets the planned role, model, version and adapters of one engine. */
internal class EngineAssignCommand : CoreCliktCommand(name = "assign") {
    private val store by option("--store", help = "ip:port of the key-value service.").address().required()
    private val pool by option("--pool").required()
    private val dataCentre by option("--data-centre").required()
    private val sidecar by option(
        "--sidecar",
        help = "ip:port where the engine's sidecar accepts links.",
    ).address().required()
    private val role by option("--role").enum<EngineRole>().default(EngineRole.MIXED)
    private val model by option("--model").required()
    private val version by option("--version").required()
    private val adapters by option("--adapter").multiple()

    override fun help(context: Context): String =
        "Sets the planned state of an engine; its sidecar drains it first. Example: acaciaflow engine assign " +
            "--store 127.0.0.1:2379 --pool loom-models --data-centre suba --sidecar 127.0.0.1:7000 " +
            "--role decode --model loom --version 3"

    override fun run() {
        val key = PlanKey(PoolName(pool), DataCentre(dataCentre))
        val desired = EngineState(role, model, version, adapters.toPersistentList())
        when (val edit = runBlocking { assignEngine(store, key, sidecar, desired) }) {
            is PlanEdit.Accepted -> echo("planned as revision ${edit.revision}")
            is PlanEdit.StoreFailed -> exitWith("the store failed: ${edit.reason.code}; try again", EXIT_STORE_FAILED)
            PlanEdit.Contended -> exitWith("the plan kept changing concurrently; try again", EXIT_CONTENDED)
        }
    }

    private companion object {
        const val EXIT_CONTENDED = 3
        const val EXIT_STORE_FAILED = 4
    }
}
