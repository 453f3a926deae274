package org.acaciaflow.daemon

import com.github.ajalt.clikt.parameters.options.NullableOption
import com.github.ajalt.clikt.parameters.options.RawOption
import com.github.ajalt.clikt.parameters.options.convert
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.parseHostAddress

/** An option whose value is `ip:port`. */
internal fun RawOption.address(): NullableOption<HostAddress, HostAddress> =
    convert { parseHostAddress(it) ?: fail("not ip:port") }
