package org.acaciaflow.protocol.json

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** The deepest nesting of arrays and objects that is parsed. The parser uses stack for each level. */
const val MAXIMUM_JSON_DEPTH = 256

/**
 * Parses JSON text from another process.
 *
 * @throws SerializationException if [text] is malformed or nested deeper than [MAXIMUM_JSON_DEPTH].
 */
fun Json.parseForeign(text: String): JsonElement {
    requireBoundedDepth(text)
    return parseToJsonElement(text)
}

/**
 * Decodes JSON text from another process.
 *
 * @throws SerializationException if [text] is malformed or nested deeper than [MAXIMUM_JSON_DEPTH].
 */
fun <Value> Json.decodeForeign(
    deserializer: DeserializationStrategy<Value>,
    text: String,
): Value {
    requireBoundedDepth(text)
    return decodeFromString(deserializer, text)
}

private fun requireBoundedDepth(text: String) {
    if (exceedsDepth(text, MAXIMUM_JSON_DEPTH)) {
        throw SerializationException("nested deeper than $MAXIMUM_JSON_DEPTH levels")
    }
}

/** Returns true if [text] has more than [limit] arrays and objects open at once, brackets within strings aside. */
internal fun exceedsDepth(
    text: String,
    limit: Int,
): Boolean {
    var depth = 0
    var insideString = false
    var index = 0
    while (index < text.length) {
        when (text[index]) {
            '"' -> insideString = !insideString
            '\\' -> if (insideString) index += 1
            '[', '{' -> if (!insideString) depth += 1
            ']', '}' -> if (!insideString) depth -= 1
        }
        if (depth > limit) return true
        index += 1
    }
    return false
}
