package org.acaciaflow.transport.process

import kotlinx.serialization.json.JsonArrayBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.stream.PoolVersions

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

    /** Adds an object for each host with its base, the pool in which streams without a record began, null if unknown. */
    fun describeHosts(
        hosts: JsonArrayBuilder,
        versions: PoolVersions,
    ) {
        for ((host, lineage) in versions.hosts) {
            hosts.addJsonObject {
                put("host", host)
                put("base", lineage.base?.pool?.name)
            }
        }
    }
}
