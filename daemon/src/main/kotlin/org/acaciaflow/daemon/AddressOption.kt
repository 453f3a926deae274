package org.acaciaflow.daemon

import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.parseHostAddress

/** Parses the option value as `ip:port`; any other form is a usage error. */
internal fun RawOption.address(): NullableOption<HostAddress, HostAddress> =
    convert { parseHostAddress(it) ?: fail("expected ip:port, for example 127.0.0.1:2379") }
