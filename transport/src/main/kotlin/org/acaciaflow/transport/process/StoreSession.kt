package org.acaciaflow.transport.process

import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.port.KeyValueStore
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.transport.store.EtcdKeyValueStore

/** Runs [work] with a client of the store at [address] and closes the client; for one-shot commands. */
internal suspend fun <Result> withStore(
    address: HostAddress,
    work: suspend (KeyValueStore) -> Result,
): Result {
    val runtime = createRuntime(createSteadyClock())
    try {
        return work(EtcdKeyValueStore(runtime.vertx, address, runtime.registry, runtime.observations))
    } finally {
        runtime.close()
    }
}
