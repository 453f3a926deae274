package org.acaciaflow.protocol.settings

import kotlinx.collections.immutable.PersistentList

/** The result of reading a settings file. */
sealed interface SettingsResult<out Settings> {
    data class Valid<out Settings>(
        val settings: Settings,
    ) : SettingsResult<Settings>

    data class Faulty(
        val faults: PersistentList<SettingsFault>,
    ) : SettingsResult<Nothing>
}
