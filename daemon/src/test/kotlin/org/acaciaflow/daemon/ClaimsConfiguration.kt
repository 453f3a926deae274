package org.acaciaflow.daemon

/** A configuration with the route `/claims/` of each of [hosts], of the platform's [kind] of requests, to the service `register`. */
internal fun claimsConfiguration(
    kind: String,
    hosts: List<String> = listOf("127.0.0.1"),
    timeoutMilliseconds: Long = 2000,
    headTimeoutMilliseconds: Long = 3000,
    idleTimeoutMilliseconds: Long = 15000,
): String =
    """{"version":1,"routes":[${hosts.joinToString(",") { claimsRoute(kind, it, timeoutMilliseconds) }}],""" +
        """"services":[{"name":"register","health_path":"/healthz","max_conns":110,"protocol":"h1",""" +
        """"tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,""" +
        """"header_timeout_ms":$headTimeoutMilliseconds,"idle_timeout_ms":$idleTimeoutMilliseconds}}"""

private fun claimsRoute(
    kind: String,
    host: String,
    timeoutMilliseconds: Long,
): String =
    """{"name":"claims-$host","host":"$host","prefix":"/claims/",""" +
        """"kind":"$kind","timeout_ms":$timeoutMilliseconds,"target_latency_ms":200,"priority":1,""" +
        """"service":"register","max_attempts":2,"sticky":false,"resumable":false,"gap_aim_ms":200}"""
