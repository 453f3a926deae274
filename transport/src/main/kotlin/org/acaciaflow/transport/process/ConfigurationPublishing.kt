package org.acaciaflow.transport.process

import org.acaciaflow.protocol.configuration.ConfigurationPublisher
import org.acaciaflow.protocol.configuration.PublishOutcome
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.transport.store.EtcdKeyValueStore
import java.util.UUID

/** Publishes a configuration document at [store] as the successor of revision [base]. */
suspend fun publishConfiguration(
    store: HostAddress,
    text: String,
    base: Long,
): PublishOutcome {
    val runtime = createRuntime()
    try {
        val client = EtcdKeyValueStore(runtime.vertx, store, runtime.registry)
        return ConfigurationPublisher(client).publish(text, base, contentName = UUID.randomUUID().toString())
    } finally {
        runtime.close()
    }
}
