package org.acaciaflow.daemon

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** A call that writes to a [StoreServer], and what comes of it. */
internal class StoreTransaction(
    text: String,
) {
    private val document = Json.parseToJsonElement(text).jsonObject
    private val expected = objects("expected").associate { it.text("key") to it.number("revision") }
    private val writes = objects("writes")
    private val removed = document["remove"]?.jsonArray.orEmpty().map { it.jsonPrimitive.content }

    /** Returns the answer to this call at [content], and the content after it. */
    fun runOn(content: StoreContent): Pair<StoreAnswer, StoreContent> {
        val leases = writes.map { it.number("lease") }.filter { it != StoreContent.NO_LEASE }
        val isForeign =
            (writes.map { it.text("key") } + removed).any {
                it.startsWith("op/") ||
                    it.startsWith("servers/")
            }
        val isMet = expected.all { (key, revision) -> (content.items[key]?.revision ?: 0L) == revision }
        return when {
            isForeign -> StoreAnswer(403) to content
            !leases.all { it in content.leases } -> StoreAnswer(404) to content
            !isMet -> StoreAnswer(412, """{"items":[${current(content)}]}""") to content
            else -> written(content).let { StoreAnswer(200, """{"revision":${it.revision}}""") to it }
        }
    }

    private fun current(content: StoreContent): String =
        expected.keys.mapNotNull { content.items[it]?.json }.joinToString(",")

    private fun written(content: StoreContent): StoreContent =
        removed.fold(
            writes.fold(content) { rest, write ->
                rest.put(write.text("key"), write.text("value"), write.number("lease"))
            },
        ) { rest, key -> rest.remove(key) }

    private fun objects(name: String): List<JsonObject> = document[name]?.jsonArray.orEmpty().map { it.jsonObject }

    private fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

    private fun JsonObject.number(name: String): Long = getValue(name).jsonPrimitive.long
}

/** An answer of a [StoreServer]. */
internal data class StoreAnswer(
    val status: Int,
    val body: String = "{}",
)
