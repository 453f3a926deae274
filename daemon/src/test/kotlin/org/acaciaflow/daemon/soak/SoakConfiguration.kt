package org.acaciaflow.daemon.soak

/** The plain service of a soak. */
internal const val PLAIN_SERVICE = "register"

/** The service of a soak whose servers are engines. */
internal const val ENGINE_SERVICE = "writer"

/** A configuration with a route for each kind of request; its timeouts and its last route differ from [version] to version. */
internal fun soakConfiguration(version: Int): String {
    val timeout = if (version % 2 == 0) 1_500 else 2_000
    val routes =
        listOf(
            route("items", CallKind.READ.prefix, "idempotent", PLAIN_SERVICE, timeout),
            route("claims", CallKind.SINGLE_WRITE.prefix, "non_idempotent", PLAIN_SERVICE, timeout),
            route("chat", CallKind.STREAM.prefix, "streaming", ENGINE_SERVICE, timeout),
            route("draft", CallKind.RESUMABLE_STREAM.prefix, "streaming", ENGINE_SERVICE, timeout),
            route("extra", "/extra-$version/", "idempotent", PLAIN_SERVICE, timeout),
        )
    return """{"version":$version,"routes":[${routes.joinToString(",")}],""" +
        """"services":[${service(PLAIN_SERVICE, "")},${service(ENGINE_SERVICE, ENGINE)}],""" +
        """"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,""" +
        """"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
}

private fun route(
    name: String,
    prefix: String,
    kind: String,
    service: String,
    timeout: Int,
): String =
    """{"name":"$name","host":"$SOAK_HOST","prefix":"$prefix","kind":"$kind","timeout_ms":$timeout,""" +
        """"target_latency_ms":200,"priority":1,"service":"$service","max_attempts":3,""" +
        """"sticky":${service == ENGINE_SERVICE},"resumable":${prefix == CallKind.RESUMABLE_STREAM.prefix},""" +
        """"gap_aim_ms":200}"""

private fun service(
    name: String,
    fields: String,
): String = """{"name":"$name","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false$fields}"""

private const val ENGINE =
    ""","engine":{"slots":8,"kv_capacity_tokens":90000,"kv_token_bytes":1000.0,"link_mbps":1000.0}"""
