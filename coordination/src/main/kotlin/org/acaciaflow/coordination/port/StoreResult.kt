package org.acaciaflow.coordination.port

/** Result of a call to the platform's store. */
sealed interface StoreResult<out Value> {
    data class Success<out Value>(
        val value: Value,
    ) : StoreResult<Value>

    data class Failure(
        val reason: StoreFailure,
    ) : StoreResult<Nothing>
}
