package org.acaciaflow.transport.process

import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import kotlin.random.Random

/** A new identity for the process that starts at [address]; its start number is drawn so that no other life has it. */
internal fun newProcessIdentity(address: HostAddress): ProcessIdentity =
    ProcessIdentity(address, Random.Default.nextLong())
