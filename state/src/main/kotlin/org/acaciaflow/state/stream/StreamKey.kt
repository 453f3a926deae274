package org.acaciaflow.state.stream

/** A 128-bit hash that stands for a stream in records of any gateway. */
data class StreamKey(
    val high: Long,
    val low: Long,
) {
    /** Prints 32 hexadecimal digits. */
    override fun toString(): String = digits(high) + digits(low)

    private fun digits(part: Long): String = part.toULong().toString(HEXADECIMAL).padStart(DIGITS, '0')

    private companion object {
        const val HEXADECIMAL = 16
        const val DIGITS = 16
    }
}
