/**
 * Steps about requests that an exchange promises not to have sent, at the level of bytes.
 *
 * @module
 */

import { After, type DataTable, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { EXCHANGE_CASES } from "../support/exchange_cases.js";
import { ExchangeRig, type SentRequest } from "../support/exchange_rig.js";
import { formatAnswer } from "../support/request_recorder.js";
import type { Scenario } from "../support/world.js";

/** Time after which a request that was promised not to be sent must still not have arrived, in milliseconds. */
const LATER_MS = 2_000;

/** Limit of attempts to connect of the case that is about it, in milliseconds. */
const SHORT_CONNECT_TIMEOUT_MS = 1;

/** Largest number of actions in a random sequence. */
const MAX_ACTIONS = 30;

/** Bytes of a body that fits into no socket. */
const LARGE_BODY_BYTES = 3_145_728;

/** Kinds of actions in a random sequence. */
enum ActionKind {
    Send = "send",
    SendLarge = "sendLarge",
    SendUnlessLate = "sendUnlessLate",
    SendCancelledAtWrite = "sendCancelledAtWrite",
    SendCancelledAtConnect = "sendCancelledAtConnect",
    Cancel = "cancel",
    Abort = "abort",
    Answer = "answer",
    AnswerAndClose = "answerAndClose",
    AnswerTwice = "answerTwice",
    ExtraBytes = "extraBytes",
    Close = "close",
    Reset = "reset",
    StopReading = "stopReading",
    GoOnReading = "goOnReading",
    RenewPool = "renewPool",
    DestroyPool = "destroyPool",
    Wait = "wait",
}

const ACTION_KINDS = Object.values(ActionKind);

/** What happens between two actions of a random sequence. */
const PAUSES: Readonly<Record<string, () => Promise<void>>> = {
    nothing: () => Promise.resolve(),
    tick: () => new Promise(resolve => process.nextTick(resolve)),
    turn: () => new Promise(resolve => setImmediate(resolve)),
    moment: () => new Promise(resolve => setTimeout(resolve, 1)),
    crossing: () => new Promise(resolve => setTimeout(resolve, 5)),
};

/** Step of a random sequence. */
interface Action {
    readonly kind: ActionKind;
    /** Picks the request or the connection. */
    readonly index: number;
    /** Key of {@linkcode PAUSES}. */
    readonly pause: string;
}

/** State of a scenario of this file. */
interface PromiseScenario extends Scenario {
    rigs: Map<string, ExchangeRig>;
    outcomeProblems: string[];
}

After(async function(this: PromiseScenario) {
    await Promise.all([...this.rigs?.values() ?? []].map(rig => rig.close()));
});

When("a request meets each of these cases, and 2 s pass", async function(this: PromiseScenario, table: DataTable) {
    this.rigs = new Map();
    this.outcomeProblems = [];
    for (const { case: name = "", outcome = "" } of table.hashes()) {
        const play = EXCHANGE_CASES.get(name);
        assert(play !== undefined, `unknown case: ${name}`);
        const rig = new ExchangeRig(1, name.includes("longer to open") ? SHORT_CONNECT_TIMEOUT_MS : undefined);
        this.rigs.set(name, rig);
        await rig.recorder.start();
        const sent = await play(rig);
        await Promise.all(sent.map(({ ended }) => ended));
        assert(sent.length > 0);
        this.outcomeProblems.push(...sent.filter(each => !isOutcome(each, outcome)).map(each => `${name}: ${describe(each)}`));
    }
    await new Promise(resolve => setTimeout(resolve, LATER_MS));
});

When(
    "{int} random sequences of such events are played with seed {int}, and 2 s pass",
    async function(this: PromiseScenario, runs: number, seed: number) {
        this.rigs = new Map();
        this.outcomeProblems = [];
        const action: fc.Arbitrary<Action> = fc.record({
            kind: fc.oneof(
                { weight: 2, arbitrary: fc.constantFrom(ActionKind.Send, ActionKind.SendLarge) },
                { weight: 1, arbitrary: fc.constantFrom(ActionKind.Answer, ActionKind.Cancel) },
                { weight: 5, arbitrary: fc.constantFrom(...ACTION_KINDS) },
            ),
            index: fc.nat(3),
            pause: fc.constantFrom(...Object.keys(PAUSES)),
        });
        const property = fc.asyncProperty(
            fc.integer({ min: 1, max: 2 }),
            fc.array(action, { minLength: 6, maxLength: MAX_ACTIONS }),
            async (connections, actions) => {
                const rig = new ExchangeRig(connections);
                this.rigs.set(`sequence ${this.rigs.size}: ${JSON.stringify(actions)}`, rig);
                await playSequence(rig, actions);
                assert.deepEqual(rig.findProblems(), []);
            },
        );
        const result = await fc.check(property, { seed, numRuns: runs, endOnFailure: false });
        assert.ok(!result.failed, fc.defaultReportMessage(result));
        await new Promise(resolve => setTimeout(resolve, LATER_MS));
    },
);

Then("no request that failed as not sent has reached the server, and none was written twice", function(this: PromiseScenario) {
    const problems = [...this.rigs].flatMap(([name, rig]) => rig.findProblems().map(problem => `${name}: ${problem}`));
    assert.deepEqual([...problems, ...this.outcomeProblems], []);
});

/** Plays actions, and ends what is left then. */
async function playSequence(rig: ExchangeRig, actions: readonly Action[]): Promise<void> {
    await rig.recorder.start();
    for (const { kind, index, pause } of actions) {
        apply(rig, kind, index);
        await PAUSES[pause]?.();
    }
    for (const { socket } of rig.recorder.open) {
        socket.resume();
    }
    for (const sent of rig.sent) {
        sent.cancel();
    }
    await rig.awaitEnds();
    await PAUSES["crossing"]?.();
}

function apply(rig: ExchangeRig, kind: ActionKind, index: number): void {
    const { open } = rig.recorder;
    const connection = open[index % Math.max(1, open.length)];
    const running = rig.sent.filter(({ error }) => error === undefined);
    const sent = running.at(-1 - index % Math.max(1, running.length));
    const id = connection?.requests.at(-1)?.id ?? "none";
    switch (kind) {
        case ActionKind.Send:
            rig.send();
            return;
        case ActionKind.SendLarge:
            rig.send({ bodyBytes: LARGE_BODY_BYTES });
            return;
        case ActionKind.SendUnlessLate:
            rig.send({ mayWrite: () => false });
            return;
        case ActionKind.SendCancelledAtWrite:
            rig.send({
                mayWrite: each => {
                    each.cancel();
                    return index > 0;
                },
            });
            return;
        case ActionKind.SendCancelledAtConnect: {
            const { pool } = rig;
            const each = rig.send({ pool });
            pool.once("connect", () => each.cancel());
            return;
        }
        case ActionKind.Cancel:
            sent?.cancel();
            return;
        case ActionKind.Abort:
            sent?.abort();
            return;
        case ActionKind.Answer:
            connection?.write(formatAnswer(id));
            return;
        case ActionKind.AnswerAndClose:
            connection?.write(formatAnswer(id, 200, ["Connection: close"]));
            return;
        case ActionKind.AnswerTwice:
            connection?.write(formatAnswer(id) + formatAnswer(id));
            return;
        case ActionKind.ExtraBytes:
            connection?.write(formatAnswer("late").slice(0, 10 + 40 * index));
            return;
        case ActionKind.Close:
            connection?.socket.end();
            return;
        case ActionKind.Reset:
            connection?.socket.resetAndDestroy();
            return;
        case ActionKind.StopReading:
            connection?.socket.pause();
            return;
        case ActionKind.GoOnReading:
            connection?.socket.resume();
            return;
        case ActionKind.RenewPool:
            rig.renew();
            return;
        case ActionKind.DestroyPool:
            rig.destroyPool();
            return;
        case ActionKind.Wait:
            return;
    }
}

/** @returns Whether a request ended as a case of the table says. */
function isOutcome(sent: SentRequest, outcome: string): boolean {
    switch (outcome) {
        case "unsent":
            return sent.isPromisedUnsent;
        case "sent":
            return sent.error !== undefined && !sent.isPromisedUnsent;
        case "answered":
            return sent.error === undefined;
        case "any":
            return true;
        default:
            assert.fail(`unknown outcome: ${outcome}`);
    }
}

function describe({ error, failedStep }: SentRequest): string {
    return error === undefined ? "answered" : `${error.message} at ${failedStep ?? "no step"}`;
}
