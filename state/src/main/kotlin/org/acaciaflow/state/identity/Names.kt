package org.acaciaflow.state.identity

/** The name of a data centre in the settings and in the host list. */
@JvmInline
value class DataCentre(
    val name: String,
)

/** The name of a team or organisation that owns deployments. */
@JvmInline
value class TeamName(
    val name: String,
)

/** The name of a deployment: the rules for classifying and serving the calls of one team. */
@JvmInline
value class DeploymentName(
    val name: String,
)

/** The name of a pool of interchangeable backend servers. */
@JvmInline
value class PoolName(
    val name: String,
)

/** The name of a work kind, unique within its deployment. */
@JvmInline
value class WorkKindName(
    val name: String,
)

/** The sequence number of a request within one gateway process. */
@JvmInline
value class Ticket(
    val number: Long,
)

/** The name of a route in the routing configuration. */
@JvmInline
value class RouteName(
    val name: String,
)

/** The version of the software that a backend server runs; it has no order, and is not that of its model weights. */
@JvmInline
value class SoftwareVersion(
    val name: String,
)
