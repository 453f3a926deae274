#!/usr/bin/env bash
# Runs real gateways between seeded callers and faulty servers, or servers of several versions, and judges all answers.
set -eu
cd "$(dirname "$0")"
usage() {
    cat >&2 <<'TEXT'
usage: ./soak.sh [--kind answers|versions] [--seeds N|N-M] [--seconds S] [--mix NAME] [--gateways N]
                 [--callers N] [--gateway-jar FILE]

  --kind      answers: servers that fail and answer twice; versions: releases while one gateway is out of step, and
              streams that are taken up (answers)
  --seeds     the seed or seeds to play, one after the other (1)
  --seconds   how long each of them sends requests (20; versions 12, and the last release is finished)
  --mix       answers only: quiet, stutter, stutter-and-failures, silences, lost-answers, everything, early-second-answers,
              early-second-answers-half, rare-own-bodies, rare-own-bodies-most, rare-bare-heads,
              rare-own-bodies-many, rare-bare-heads-many, dense-own-bodies, lone-successes,
              second-late-failures or second-late-failures-half
              (stutter-and-failures)
  --gateways  gateway processes (2)
  --callers   callers, each in a thread (30; versions 40)
  --gateway-jar  the jar of another build of the gateway, to compare with (this one)

Answers: prints four lines for each seed: all counts, the wrong answers in two lines, and the plain service. A seed with breaches
leaves the breaches and the gateways' logs in daemon/target/soak/. Breaches that the server's own first answer caused,
as in "everything" and the mixes from "early-second-answers" on, are counted as ...-BY-SERVER and do not fail the run.
Versions: prints a line of counts for each seed and one for each release. A seed with breaches, or with fewer than half
of its take-ups going on while all gateways are in step, leaves the same. Even seeds have engines.
TEXT
    exit 2
}
# The test framework ends a test after ten minutes, which some seeds take together.
test=AnswerSoakTest
options=(-Dkotest.framework.timeout=86400000)
while [ $# -gt 0 ]; do
    [ $# -gt 1 ] || usage
    case "$1" in
        --kind)
            case "$2" in
                answers) test=AnswerSoakTest ;;
                versions) test=VersionSoakTest ;;
                *) usage ;;
            esac
            ;;
        --seeds | --seconds | --mix | --gateways | --callers | --gateway-jar) options+=("-Dsoak.${1#--}=$2") ;;
        *) usage ;;
    esac
    shift 2
done
mvn -q -B -pl daemon -am test -Dtest="$test" -Dsurefire.failIfNoSpecifiedTests=false "${options[@]}"
