package org.acaciaflow.transport.process

import kotlinx.serialization.json.JsonArrayBuilder
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.stream.PoolVersions
import org.acaciaflow.state.stream.StreamRoute

/** Describes the software versions of each pool, and the bases of hosts, as JSON. */
internal object VersionStatus {
    /** Adds an object for each pool with its base version, null if unknown, and its registered servers by version. */
    fun describe(
        pools: JsonArrayBuilder,
        fleet: Fleet,
        versions: PoolVersions,
    ) {
        for ((pool, entries) in fleet.entries.values.groupBy { it.pool }) {
            pools.addJsonObject {
                put("pool", pool.name)
                put(
                    "base",
                    versions.lineages[pool]
                        ?.base
                        ?.version
                        ?.name,
                )
                putJsonObject("servers") {
                    entries.groupingBy { it.software }.eachCount().forEach { (version, count) ->
                        put(version.name, count)
                    }
                }
            }
        }
    }

    private fun poolsByPrefix(routes: List<StreamRoute>): JsonObject =
        buildJsonObject {
            for (route in routes) putJsonArray(route.prefix) { route.destinations.forEach { add(it.pool.name) } }
        }

    /** Adds an object for each host with the pools of its base by prefix, in which streams without a record began; null if unknown. */
    fun describeHosts(
        hosts: JsonArrayBuilder,
        versions: PoolVersions,
    ) {
        for ((host, lineage) in versions.hosts) {
            hosts.addJsonObject {
                put("host", host)
                val routes = lineage.base?.routes
                if (routes == null) put("base", JsonNull) else put("base", poolsByPrefix(routes))
            }
        }
    }
}
