package org.acaciaflow.state.identity

/** A data centre as settings and the list of hosts name it. */
@JvmInline
value class DataCentre(
    val name: String,
)

/** A team or organisation whose calls are served. */
@JvmInline
value class TeamName(
    val name: String,
)

/** A named set of rules by which calls of one team are served. */
@JvmInline
value class DeploymentName(
    val name: String,
)

/** A group of interchangeable backend servers. */
@JvmInline
value class PoolName(
    val name: String,
)

/** A kind of work inside a deployment. */
@JvmInline
value class WorkKindName(
    val name: String,
)

/** The number of a request inside one gateway process. */
@JvmInline
value class Ticket(
    val number: Long,
)

/** A route of the operators' configuration. */
@JvmInline
value class RouteName(
    val name: String,
)
