package org.acaciaflow.transport.process

import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import kotlin.random.Random

/** Creates the identity of a process at [address]; a random start number distinguishes it from earlier ones. */
internal fun newProcessIdentity(address: HostAddress): ProcessIdentity =
    ProcessIdentity(address, Random.Default.nextLong())
