package org.acaciaflow.protocol.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.parseHostAddress
import org.apache.commons.configuration2.INIConfiguration

/** Reads values from an INI file and collects all faults instead of failing at the first one. */
internal class IniSettings(
    private val source: INIConfiguration,
) {
    private var readKeys: PersistentSet<IniKey> = persistentSetOf()
    private var collected: PersistentList<SettingsFault> = persistentListOf()

    /** All faults so far, including keys that are present but were never read. */
    fun faults(): PersistentList<SettingsFault> {
        val unknown = presentKeys().filter { it !in readKeys }
        return collected.addAll(unknown.map { SettingsFault.Unknown(it.section, it.key) })
    }

    fun text(
        section: String,
        key: String,
    ): String = required(section, key, "a non-empty string") { it.ifBlank { null } } ?: ""

    /** Reads one of the [allowed] values; an empty string when the key is missing or has any other value. */
    fun choice(
        section: String,
        key: String,
        allowed: List<String>,
    ): String = required(section, key, allowed.joinToString(" or ")) { text -> text.takeIf { it in allowed } } ?: ""

    fun address(
        section: String,
        key: String,
    ): HostAddress = required(section, key, ADDRESS_FORMAT, ::parseNumericAddress) ?: NO_ADDRESS

    fun optionalAddress(
        section: String,
        key: String,
    ): HostAddress? = if (raw(section, key) == null) null else address(section, key)

    fun integer(
        section: String,
        key: String,
        range: IntRange,
        default: Int,
    ): Int {
        val allowed = "an integer from ${range.first} to ${range.last}"
        val value = raw(section, key) ?: return default
        return checked(section, key, value, allowed) { text -> text.toIntOrNull()?.takeIf { it in range } } ?: default
    }

    private fun <Value> required(
        section: String,
        key: String,
        allowed: String,
        parse: (String) -> Value?,
    ): Value? {
        val value = raw(section, key)
        if (value == null) {
            collected = collected.add(SettingsFault.Missing(section, key, allowed))
            return null
        }
        return checked(section, key, value, allowed, parse)
    }

    private fun <Value> checked(
        section: String,
        key: String,
        value: String,
        allowed: String,
        parse: (String) -> Value?,
    ): Value? {
        val parsed = parse(value)
        if (parsed == null) collected = collected.add(SettingsFault.Invalid(section, key, value, allowed))
        return parsed
    }

    private fun raw(
        section: String,
        key: String,
    ): String? {
        readKeys = readKeys.add(IniKey(section, key))
        return source.getSection(section).getString(key)
    }

    private fun presentKeys(): List<IniKey> =
        source.sections.flatMap { section ->
            source
                .getSection(section)
                .keys
                .asSequence()
                .map { IniKey(section.orEmpty(), it) }
                .toList()
        }

    private fun parseNumericAddress(text: String): HostAddress? =
        parseHostAddress(text)?.takeIf { address -> address.ip.all { it in IP_CHARACTERS } }

    private data class IniKey(
        val section: String,
        val key: String,
    )

    private companion object {
        const val ADDRESS_FORMAT = "an IP address and a port, such as 127.0.0.1:8080"
        const val IP_CHARACTERS = "0123456789abcdefABCDEF.:[]"
        val NO_ADDRESS = HostAddress("0.0.0.0", 1)
    }
}
