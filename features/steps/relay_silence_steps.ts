/**
 * Steps about calls at servers that are silent for a time.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    formatScriptedEvent,
    PeerBehavior,
    SCRIPTED_BODY,
    SCRIPTED_EVENTS,
    SCRIPTED_LIMIT_MS,
    type SilenceCall,
    SilenceModel,
    type SilenceSettings,
} from "../support/silence_model.js";
import type { Scenario } from "../support/world.js";

/** Numbers of servers that a node reaches. */
const SERVER_COUNTS = [1, 2, 3];

/** Durations of the silence, in milliseconds. */
const SILENCES_MS = [600, 1_200, 2_000];

/** Time for which two servers may work on a call once one of them has begun to answer, in milliseconds. */
const MAX_OVERLAP_MS = 400;

const CALL_BY_KIND: Readonly<Record<string, SilenceCall>> = {
    "unsafe": { isStream: false, mayRepeat: false, isBegun: false },
    "safe": { isStream: false, mayRepeat: true, isBegun: false },
    "stream": { isStream: true, mayRepeat: false, isBegun: false },
    "begun stream": { isStream: true, mayRepeat: false, isBegun: true },
    "resumable stream": { isStream: true, mayRepeat: true, isBegun: false },
    "begun resumable stream": { isStream: true, mayRepeat: true, isBegun: true },
};

/** Play of a case. */
interface SilencePlay {
    readonly title: string;
    readonly model: SilenceModel;
}

/** State of a scenario of this file. */
interface SilenceScenario extends Scenario {
    silenceCall: SilenceCall;
    silencePlays: readonly SilencePlay[];
}

Given(
    "a node whose servers fall silent while a {string} call is under way at each",
    function(this: SilenceScenario, kind: string) {
        const call = CALL_BY_KIND[kind];
        assert(call !== undefined, `unknown kind: ${kind}`);
        this.silenceCall = call;
    },
);

When(
    /^they go on after 0\.6 s, 1\.2 s or 2 s, and a peer (.*)$/,
    async function(this: SilenceScenario, behavior: string) {
        this.silencePlays = await playAll(this.silenceCall, { peer: behavior as PeerBehavior });
    },
);

When(
    /^they go on after 0\.6 s, 1\.2 s or 2 s, a peer takes calls, and (the retry budget is used up|the route allows one attempt)$/,
    async function(this: SilenceScenario, limit: string) {
        const limits = limit === "the retry budget is used up" ? { retries: 0 } : { maxAttempts: 1 };
        this.silencePlays = await playAll(this.silenceCall, { peer: PeerBehavior.Takes, ...limits });
    },
);

When(/^they break off after 1\.2 s, and a peer (.*)$/, async function(this: SilenceScenario, behavior: string) {
    this.silencePlays = await playAll(this.silenceCall, { peer: behavior as PeerBehavior, breaksOff: true }, [1_200]);
});

When(
    /^they are silent until the deadline, (?:and )?a peer ((?:(?! and the callers).)*?)(?:, and the callers leave after (\d+) ms)?$/,
    async function(this: SilenceScenario, behavior: string, leaveMs: string | undefined) {
        const changes = { peer: behavior as PeerBehavior, ...leaveMs === undefined ? {} : { callersLeaveMs: Number(leaveMs) } };
        this.silencePlays = await playAll(this.silenceCall, changes, [2 * SCRIPTED_LIMIT_MS]);
    },
);

When(
    /^they send an event each (\d+) ms instead, on a route with a timeout of (\d+) ms, and a peer (.*)$/,
    async function(this: SilenceScenario, eventMs: string, timeoutMs: string, behavior: string) {
        const changes = { peer: behavior as PeerBehavior, eventMs: Number(eventMs), timeoutMs: Number(timeoutMs) };
        this.silencePlays = await playAll(this.silenceCall, changes, [0]);
    },
);

When(
    /^they (go on|refuse their call) after 1\.2 s or 2 s, a peer (.*), and the node fails inside as the attempt at the server ends$/,
    async function(this: SilenceScenario, end: string, behavior: string) {
        const changes = { peer: behavior as PeerBehavior, refuses: end !== "go on", failsInside: true };
        this.silencePlays = await playAll(this.silenceCall, changes, [1_200, 2_000]);
    },
);

/** Plays a kind of call with each number of servers and each silence. */
async function playAll(
    call: SilenceCall,
    changes: Omit<SilenceSettings, "call" | "servers" | "silentMs">,
    silencesMs = SILENCES_MS,
): Promise<readonly SilencePlay[]> {
    assert(Object.values(PeerBehavior).includes(changes.peer), `unknown behaviour: ${changes.peer}`);
    const plays: SilencePlay[] = [];
    for (const servers of SERVER_COUNTS) {
        for (const silentMs of silencesMs) {
            const model = new SilenceModel({ ...changes, call, servers, silentMs });
            await model.run();
            plays.push({ title: `${servers} servers silent for ${silentMs} ms`, model });
        }
    }
    return plays;
}

Then("each caller gets the whole answer, each event once", function(this: SilenceScenario) {
    const events = Array.from({ length: SCRIPTED_EVENTS }, (unused, index) => formatScriptedEvent(index + 1)).join("");
    const expected = this.silenceCall.isStream ? events : SCRIPTED_BODY;
    const wrong: string[] = [];
    for (const { title, model } of this.silencePlays) {
        for (const { status, body, isEnded, isAborted } of model.callers.values()) {
            if (status !== 200 || !isEnded || isAborted || body !== expected) {
                wrong.push(`${title}: status ${status}, ${isAborted ? "aborted" : "ended"}, ${JSON.stringify(body)}`);
            }
        }
    }
    assert.deepEqual(wrong, []);
});

Then("no call runs more than once", function(this: SilenceScenario) {
    for (const { title, model } of this.silencePlays) {
        assert.equal(model.runs.length, model.callers.size, title);
    }
});

Then(
    "no call runs more than twice, nor at two servers once one has begun to answer",
    function(this: SilenceScenario) {
        for (const { title, model } of this.silencePlays) {
            for (const [id, caller] of model.callers) {
                const runs = model.runs.filter(run => run.id === id);
                assert(runs.length <= 2, `${title}: ${runs.length} runs`);
                const startedAtMs = Math.max(...runs.map(run => run.startedAtMs));
                const answeredAtMs = caller.writtenAtMs.find(atMs => atMs >= startedAtMs) ?? Infinity;
                const working = runs.filter(({ overAtMs = Infinity }) => overAtMs > answeredAtMs + MAX_OVERLAP_MS);
                assert(working.length <= 1, `${title}: ${working.length} servers work on ${id}`);
            }
        }
    },
);

Then("each caller has its answer within {int} ms", function(this: SilenceScenario, limitMs: number) {
    for (const { title, model } of this.silencePlays) {
        for (const { endedAtMs } of model.callers.values()) {
            assert(endedAtMs - model.startedAtMs <= limitMs, `${title}: ${endedAtMs - model.startedAtMs} ms`);
        }
    }
});

Then(
    /^each call ends (complete|broken off|with \d+), and no later than its deadline$/,
    function(this: SilenceScenario, end: string) {
        for (const { title, model } of this.silencePlays) {
            for (const caller of model.callers.values()) {
                const ended = caller.isAborted ? "broken off" : caller.status === 200 ? "complete" : `with ${caller.status}`;
                assert.equal(ended, end, title);
                assert(caller.isAborted || caller.isEnded, title);
                assert(caller.endedAtMs - model.startedAtMs <= SCRIPTED_LIMIT_MS, title);
            }
        }
    },
);

Then("each call has ended after {int} ms", function(this: SilenceScenario, durationMs: number) {
    for (const { title, model } of this.silencePlays) {
        for (const { endedAtMs } of model.callers.values()) {
            assert.equal(endedAtMs - model.startedAtMs, durationMs, title);
        }
        assertNoWorkAfter([{ title, model }], durationMs);
    }
});

Then("no server works on a call after its deadline", function(this: SilenceScenario) {
    assertNoWorkAfter(this.silencePlays, SCRIPTED_LIMIT_MS);
});

Then("no server works on a call after its caller has left", function(this: SilenceScenario) {
    assertNoWorkAfter(this.silencePlays, this.silencePlays[0]?.model.settings.callersLeaveMs ?? 0);
});

Then("a peer has begun to run each call, and no server works on a call after it has ended", function(this: SilenceScenario) {
    for (const { title, model } of this.silencePlays) {
        for (const [id, { endedAtMs }] of model.callers) {
            const runs = model.runs.filter(run => run.id === id);
            assert(runs.some(({ isAtPeer }) => isAtPeer), `${title}: no peer has run ${id}`);
            for (const { overAtMs = Infinity } of runs) {
                assert(overAtMs <= endedAtMs, `${title}: a server works on ${id}`);
            }
        }
    }
});

function assertNoWorkAfter(plays: readonly SilencePlay[], limitMs: number): void {
    for (const { title, model } of plays) {
        for (const { id, overAtMs = Infinity } of model.runs) {
            assert(overAtMs - model.startedAtMs <= limitMs, `${title}: ${id} ended after ${overAtMs - model.startedAtMs} ms`);
        }
    }
}
