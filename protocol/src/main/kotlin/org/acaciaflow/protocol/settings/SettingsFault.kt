package org.acaciaflow.protocol.settings

/** A fault of a settings file; [toString] describes it for an operator. */
sealed interface SettingsFault {
    data class Unreadable(
        val file: String,
        val detail: String,
    ) : SettingsFault {
        override fun toString(): String = "$file: cannot be read: $detail"
    }

    data class Missing(
        val section: String,
        val key: String,
        val allowed: String,
    ) : SettingsFault {
        override fun toString(): String = "[$section] $key: missing; allowed: $allowed"
    }

    data class Invalid(
        val section: String,
        val key: String,
        val value: String,
        val allowed: String,
    ) : SettingsFault {
        override fun toString(): String = "[$section] $key: '$value' is not allowed; allowed: $allowed"
    }

    data class Unknown(
        val section: String,
        val key: String,
    ) : SettingsFault {
        override fun toString(): String = "[$section] $key: unknown key"
    }
}
