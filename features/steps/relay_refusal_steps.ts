/**
 * Steps about answers that promise that a call has not run.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { AnswerPlace, AttemptEnd, type EndAttempt, NOT_RUN_STATUSES } from "../../src/protocol/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { ReceiverEnd, RefusalModel } from "../support/refusal_model.js";
import { ScriptedCaller } from "../support/scripted_caller.js";
import { PeerBehavior, type SilenceCall } from "../support/silence_model.js";
import type { Scenario } from "../support/world.js";

/** Time limit of a step with many histories, in milliseconds. */
const STEP_TIMEOUT_MS = 120_000;

/** Calls by the kind that tests select them by. */
const CALL_BY_KIND: Readonly<Record<string, SilenceCall>> = {
    "unsafe": { isStream: false, mayRepeat: false, isBegun: false },
    "stream": { isStream: true, mayRepeat: false, isBegun: false },
    "safe": { isStream: false, mayRepeat: true, isBegun: false },
    "resumable stream": { isStream: true, mayRepeat: true, isBegun: false },
};

/** Delays that fall before, at and after the limits of the model. */
const DELAYS_MS = [0, 1, 5, 50, 199, 200, 201, 1_000, 4_900, 4_999, 5_000, 5_001, 6_000];

/** @returns The counterexample of a check that has failed. */
function describe<Values>(result: fc.RunDetails<Values>): string | undefined {
    return result.failed ? fc.defaultReportMessage(result) : undefined;
}

/** State of a scenario of this file. */
interface RefusalScenario extends Scenario {
    /** Counterexample; `undefined` if there is none. */
    counterexample: string | undefined;
}

When(
    /^(\d+) histories of ([a-z ]+) calls are drawn with seed (\d+)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: RefusalScenario, runs: string, kind: string, seed: string) {
        const call = CALL_BY_KIND[kind];
        assert(call !== undefined, `unknown kind ${kind}`);
        const delay = fc.constantFrom(...DELAYS_MS);
        // A call is handed to a peer once two servers were not reached.
        const end = fc.oneof(fc.constant(ReceiverEnd.Unreached), fc.constantFrom(...Object.values(ReceiverEnd)));
        const history = fc.record({
            call: fc.constant(call),
            servers: fc.integer({ min: 1, max: 4 }),
            silentMs: fc.constantFrom(0, 0, 1_500),
            peer: fc.constantFrom(PeerBehavior.None, PeerBehavior.Takes),
            peers: fc.integer({ min: 1, max: 2 }),
            retries: fc.integer({ min: 0, max: 4 }),
            maxAttempts: fc.integer({ min: 1, max: 3 }),
            timeoutMs: fc.constantFrom(300, 5_000),
            callersLeaveMs: fc.constantFrom(0, 0, 0, 100, 4_999),
            stopsAfterMs: fc.option(delay, { nil: undefined }),
            graceMs: fc.constantFrom(0, 500, 3_000),
            failsInside: fc.constantFrom(false, false, false, true),
            attempts: fc.array(fc.record({ end, delayMs: delay }), { maxLength: 10 }),
        });
        const property = fc.asyncProperty(history, async settings => {
            const model = new RefusalModel(settings);
            await model.run();
            assert.deepEqual(model.findFaults(), []);
        });
        this.counterexample = describe(await fc.check(property, { seed: Number(seed), numRuns: Number(runs) }));
    },
);

Then(
    "no answer promises that a call has not run that may have, and none is sent after its answer",
    function(this: RefusalScenario) {
        assert.equal(this.counterexample, undefined);
    },
);

When(
    "{int} orders of attempts, their ends and answers of the node are drawn with seed {int}",
    function(this: RefusalScenario, runs: number, seed: number) {
        const event = fc.oneof(
            fc.record({ kind: fc.constant("attempt" as const), isThrowing: fc.boolean() }),
            fc.record({
                kind: fc.constant("end" as const),
                attempt: fc.nat(5),
                end: fc.constantFrom(AttemptEnd.Unsent, AttemptEnd.Refused),
            }),
            fc.record({ kind: fc.constant("answer" as const), status: fc.constantFrom(408, 421, 429, 500, 502, 503, 504) }),
        );
        const property = fc.property(fc.array(event, { maxLength: 12 }), events => {
            const answer = new ScriptedCaller(new VirtualClock());
            const ends: EndAttempt[] = [];
            const isOpen: boolean[] = [];
            for (const step of events) {
                if (step.kind === "answer") {
                    const mayHaveRun = isOpen.includes(true);
                    answer.sendLocal({ place: AnswerPlace.Attempts, status: step.status, text: "" });
                    assert.equal(NOT_RUN_STATUSES.has(answer.status), NOT_RUN_STATUSES.has(step.status) && !mayHaveRun);
                    break;
                }
                if (step.kind === "end") {
                    ends[step.attempt]?.(step.end);
                    isOpen[step.attempt] = false;
                    continue;
                }
                const send = () => {
                    assert(!step.isThrowing);
                };
                try {
                    ends.push(answer.execution.attempt("server-1", send).endAttempt);
                    isOpen[ends.length - 1] = true;
                }
                catch (error) {
                    assert(step.isThrowing, String(error));
                }
            }
            const isPromised = NOT_RUN_STATUSES.has(answer.status);
            let isSent = false;
            const sendLate = () => answer.execution.attempt("server-2", () => isSent = true);
            if (isPromised) {
                assert.throws(sendLate, { name: "PromisedNotRunError" });
            }
            else {
                sendLate();
            }
            assert.equal(isSent, !isPromised);
        });
        this.counterexample = describe(fc.check(property, { seed, numRuns: runs }));
    },
);

Then("each answer that was written is true, and nothing is sent after a promise", function(this: RefusalScenario) {
    assert.equal(this.counterexample, undefined);
});
