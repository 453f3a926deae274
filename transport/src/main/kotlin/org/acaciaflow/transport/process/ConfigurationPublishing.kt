package org.acaciaflow.transport.process

import org.acaciaflow.protocol.configuration.ConfigurationPublisher
import org.acaciaflow.protocol.configuration.PublishOutcome
import org.acaciaflow.state.identity.HostAddress
import java.util.UUID

/** Publishes a configuration document at [store] as the successor of revision [base]. */
suspend fun publishConfiguration(
    store: HostAddress,
    text: String,
    base: Long,
): PublishOutcome =
    withStore(store) { ConfigurationPublisher(it).publish(text, base, contentName = UUID.randomUUID().toString()) }
