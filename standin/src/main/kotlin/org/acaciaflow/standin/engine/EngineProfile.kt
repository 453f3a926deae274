package org.acaciaflow.standin.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Timing and capacity of a stand-in engine; [speed] divides the duration of each step. */
data class EngineProfile(
    val maximumBatch: Int = 32,
    val stepBase: Duration = 8.milliseconds,
    val stepPerSequenceMicroseconds: Long = 250,
    val prefillTokensPerStep: Int = 512,
    val prefillMicrosecondsPerToken: Long = 40,
    val contextNanosecondsPerToken: Long = 200,
    val cacheBlocks: Int = 1000,
    val tokensPerBlock: Int = 64,
    val roleChange: Duration = 3.seconds,
    val restart: Duration = 2.seconds,
    val cacheEventDelay: Duration = 300.milliseconds,
    val cacheEventDropEvery: Int = 7,
    val loadReportDelay: Duration = 100.milliseconds,
    val speed: Double = 1.0,
)
