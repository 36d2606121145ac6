/**
 * Steps about refusals that are sent once more while their id is under way again, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineServer } from "../../platform/standin/engine_server.js";
import { NOT_RUN_STATUSES } from "../../src/protocol/relay/mod.js";
import {
    formatBody,
    formatChunkedAnswer,
    formatEvents,
    formatPeerRefusal,
    formatServerRefusal,
    formatWholeAnswer,
    readCallId,
    readDetourId,
} from "../support/answer_texts.js";
import { type CallerAnswer, PATH_BY_CALL_KIND, RelayFixture } from "../support/relay_fixture.js";
import { RefusedCalls, type RepeatedAnswer, RepeatingServer } from "../support/repeating_server.js";
import type { Scenario } from "../support/world.js";

/** Port that refuses connections. It is outside the range from which listeners get a free port. */
const REFUSING_PORT = 1;

/** Time for which a node sends nothing to a server that has refused a call, in milliseconds, and some more. */
const SUSPENSION_MS = 60;

/** Bytes that are missing at the end of a broken stream. */
const BROKEN_BYTES = 4;

/** Beginning of the second event of a stream. */
const SECOND_EVENT = "id: 2";

/** Receivers of a relay that refuse new ids. */
interface Receivers {
    readonly servers: number;
    /** Entries of each server. */
    readonly entries: number;
    readonly isPeer: boolean;
}

const RECEIVERS_BY_TEXT: Readonly<Record<string, Receivers>> = {
    "a server": { servers: 1, entries: 1, isPeer: false },
    "two servers": { servers: 2, entries: 1, isPeer: false },
    "three entries of a server": { servers: 1, entries: 3, isPeer: false },
    "a peer": { servers: 1, entries: 1, isPeer: true },
};

/** State of a scenario of this file. */
interface CopyScenario extends Scenario {
    copyRelay: RelayFixture;
    /** Path of the calls. */
    copyPath: string;
    refusingServers: RepeatingServer[];
    copyAnswers: CallerAnswer[];
}

After(async function(this: CopyScenario) {
    await this.copyRelay?.stop();
    for (const server of this.refusingServers ?? []) {
        server.close();
    }
});

Given(
    /^a relay for "(.*)" calls with (.*) that refuse each new id, and send the refusal once more before the answer$/,
    async function(this: CopyScenario, kind: string, receivers: string) {
        await startRelay(this, { kind, receivers }, {
            copy: (answer, nextId) => answer.includes(`: ${nextId}\r\n`) ? answer : "",
            refusedCalls: RefusedCalls.NewIds,
        });
    },
);

Given(
    /^a relay for "(.*)" calls with (.*) that send their first refusal once more, (\d+) ms before the answer to the next call$/,
    async function(this: CopyScenario, kind: string, receivers: string, leadMs: string) {
        await startRelay(this, { kind, receivers }, {
            copy: answer => answer.startsWith("HTTP/1.1 503") ? answer : "",
            refusedCalls: RefusedCalls.First,
            copyLeadMs: Number(leadMs),
        });
    },
);

Given(
    /^a relay for "(.*)" calls with (.*) that end each new stream within an event, and send it once more$/,
    async function(this: CopyScenario, kind: string, receivers: string) {
        await startRelay(this, { kind, receivers }, {
            copy: (answer, nextId) => answer.includes(`: ${nextId}\r\n`) ? answer : "",
            refusedCalls: RefusedCalls.NewIds,
            formatRefusal: id => formatChunkedAnswer(id, formatEvents(id).slice(0, -BROKEN_BYTES)),
            format: id => formatChunkedAnswer(id, formatEvents(id).slice(formatEvents(id).indexOf(SECOND_EVENT))),
        });
    },
);

/** Starts receivers that answer in a given way, and a relay with them. */
async function startRelay(
    scenario: CopyScenario,
    { kind, receivers: text }: { readonly kind: string; readonly receivers: string },
    answer: Partial<RepeatedAnswer> & Pick<RepeatedAnswer, "copy">,
): Promise<void> {
    const receivers = RECEIVERS_BY_TEXT[text];
    assert(receivers !== undefined, `unknown receivers: ${text}`);
    scenario.copyPath = PATH_BY_CALL_KIND[kind] ?? "";
    scenario.copyAnswers = [];
    scenario.refusingServers = Array.from({ length: receivers.servers }, () =>
        new RepeatingServer({
            format: kind === "stream" ? formatStream : formatWholeAnswer,
            formatRefusal: receivers.isPeer ? formatPeerRefusal : formatServerRefusal,
            ...answer,
        }, receivers.isPeer ? readDetourId : readCallId));
    for (const server of scenario.refusingServers) {
        await server.start();
    }
    scenario.copyRelay = new RelayFixture();
    await scenario.copyRelay.start([], false, store => {
        for (const [index, { address }] of scenario.refusingServers.entries()) {
            for (let entry = 0; entry < receivers.entries; entry += 1) {
                register(scenario, `engine-${index}-${entry}`, receivers.isPeer ? `127.0.0.1:${REFUSING_PORT}` : address);
            }
            if (receivers.isPeer) {
                store.put("keyed.nodes", "entry-2", { address, failureDomain: "zone-a", cores: 1 });
            }
        }
    });
}

When(/^(\d+) times (\d+) calls are sent at once$/, async function(this: CopyScenario, times: string, calls: string) {
    for (let time = 0; time < Number(times); time += 1) {
        const sent = Array.from({ length: Number(calls) }, (unused, call) =>
            // Calls with the same content are held back once servers have broken off a few of them.
            this.copyRelay.send({ path: this.copyPath, body: `${time}-${call}` }));
        this.copyAnswers.push(...await Promise.all(sent));
        await pause();
    }
});

When(
    /^(\d+) calls are sent again with their id(| after its entry was replaced)$/,
    async function(this: CopyScenario, count: string, replacement: string) {
        const { copyRelay, copyPath: path, copyAnswers } = this;
        for (let call = 0; call < Number(count); call += 1) {
            const answer = await copyRelay.send({ path });
            copyAnswers.push(answer);
            if (replacement !== "") {
                copyRelay.store.put("keyed.servers", "engine-0-0", undefined);
                await pause();
                register(this, "engine-0-0", this.refusingServers[0]?.address);
            }
            await pause();
            copyAnswers.push(await copyRelay.send({ path, id: answer.id }));
            await pause();
        }
    },
);

When("{int} calls are sent one after the other", async function(this: CopyScenario, count: number) {
    for (let call = 0; call < count; call += 1) {
        this.copyAnswers.push(await this.copyRelay.send({ path: this.copyPath }));
        if (call === 0) {
            await pause();
        }
    }
});

Then("each caller gets its whole stream", function(this: CopyScenario) {
    const wrong = this.copyAnswers.filter(({ id, body, isComplete }) => !isComplete || body !== formatEvents(id));
    assert.deepEqual(wrong.map(({ id, body }) => [id, body]), []);
});

Then("all but two of them get their own answer", function(this: CopyScenario) {
    const wrong = this.copyAnswers.filter(({ id, body }) => ![formatBody(id), formatEvents(id)].includes(body));
    assert.deepEqual(wrong.slice(2), []);
    assert(this.refusingServers.some(({ copies }) => copies === 1), "no answer was sent once more");
});

Then(
    "each id has run once at most, and no caller whose call has run is told that it has not",
    function(this: CopyScenario) {
        const runIds = this.refusingServers.flatMap(server => server.runIds);
        const problems: string[] = [];
        for (const id of new Set(runIds)) {
            const runs = runIds.filter(runId => runId === id).length;
            const last = this.copyAnswers.findLast(answer => answer.id === id);
            if (runs > 1) {
                problems.push(`${id} ran ${runs} times`);
            }
            if (NOT_RUN_STATUSES.has(last?.status ?? 0)) {
                problems.push(`${id} ran and got status ${last?.status}`);
            }
        }
        assert.deepEqual(problems, []);
        assert(runIds.length > 0, "no call has run");
    },
);

Then("a receiver got ids again that it had refused, and the node counted them", async function(this: CopyScenario) {
    const resentCalls = this.refusingServers.reduce((sum, server) => sum + server.resentCalls, 0);
    assert(resentCalls > 0, "no id arrived again");
    const counted = await this.copyRelay.readMetric("repeated_ids");
    const lines = this.copyRelay.lines.map(line => JSON.stringify(line)).join("\n");
    assert(counted > 0, `the node counted no id that was answered before:\n${lines}`);
});

/** Registers a server in the store. */
function register({ copyRelay }: CopyScenario, id: string, address: string | undefined): void {
    // With one slot each, calls that are sent at once go to different entries, and wait for another one once these have refused them.
    const entry = new EngineServer(id).serverEntry("service", { Address: address, Slots: 1 });
    copyRelay.store.put("keyed.servers", id, entry);
}

function formatStream(id: string): string {
    return formatChunkedAnswer(id, formatEvents(id));
}

function pause(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, SUSPENSION_MS));
}
