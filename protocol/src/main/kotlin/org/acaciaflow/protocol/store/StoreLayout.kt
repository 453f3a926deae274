package org.acaciaflow.protocol.store

import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.work.RequestDigest
import org.acaciaflow.state.work.digestOf

/** The keys that this system uses in the platform's key-value store. */
object StoreLayout {
    private val ROOT = StoreKey("acaciaflow")

    val CONFIGURATION = ROOT / "configuration"
    val CONFIGURATION_HEAD = CONFIGURATION / "head"
    val EXECUTIONS = ROOT / "executions"
    val PLANS = ROOT / "plans"
    val SUSPECTS = ROOT / "suspects"

    /** The key of the crash suspect with this digest. */
    fun suspect(digest: RequestDigest): StoreKey = SUSPECTS / digest.hexadecimal

    /** The key of the content of one accepted or proposed configuration. */
    fun configurationContent(name: String): StoreKey = CONFIGURATION / "content" / name

    /** The key of the plan of a pool in a data centre. */
    fun plan(key: PlanKey): StoreKey = PLANS / key.pool.name / key.dataCentre.name

    /** The key of a request's execution record. The identity is hashed, because callers choose its text and length. */
    fun execution(identity: RequestIdentity): StoreKey {
        val digest = digestOf(identity.deployment.name, identity.key, ByteArray(0))
        return EXECUTIONS / identity.deployment.name / digest.hexadecimal
    }
}
