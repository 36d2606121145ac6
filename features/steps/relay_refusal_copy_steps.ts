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
    formatChunkedAnswer,
    formatEvents,
    formatPeerRefusal,
    formatServerRefusal,
    formatWholeAnswer,
    readCallId,
    readDetourId,
} from "../support/answer_texts.js";
import { type CallerAnswer, PATH_BY_CALL_KIND, RelayFixture } from "../support/relay_fixture.js";
import { RefusedCalls, RepeatingServer } from "../support/repeating_server.js";
import type { Scenario } from "../support/world.js";

/** Port that refuses connections. It is outside the range from which listeners get a free port. */
const REFUSING_PORT = 1;

/** Time for which a node sends nothing to a server that has refused a call, in milliseconds, and some more. */
const SUSPENSION_MS = 60;

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
    async function(this: CopyScenario, kind: string, text: string) {
        const receivers = RECEIVERS_BY_TEXT[text];
        assert(receivers !== undefined, `unknown receivers: ${text}`);
        this.copyPath = PATH_BY_CALL_KIND[kind] ?? "";
        this.copyAnswers = [];
        this.refusingServers = Array.from({ length: receivers.servers }, () =>
            new RepeatingServer({
                format: kind === "stream" ? formatStream : formatWholeAnswer,
                copy: (answer, nextId) => answer.includes(`: ${nextId}\r\n`) ? answer : "",
                formatRefusal: receivers.isPeer ? formatPeerRefusal : formatServerRefusal,
                refusedCalls: RefusedCalls.NewIds,
            }, receivers.isPeer ? readDetourId : readCallId));
        for (const server of this.refusingServers) {
            await server.start();
        }
        this.copyRelay = new RelayFixture();
        await this.copyRelay.start([], false, () => {
            for (const [index, { address }] of this.refusingServers.entries()) {
                for (let entry = 0; entry < receivers.entries; entry += 1) {
                    register(this, `engine-${index}-${entry}`, receivers.isPeer ? `127.0.0.1:${REFUSING_PORT}` : address);
                }
                if (receivers.isPeer) {
                    const peer = { address, failureDomain: "zone-a", cores: 1 };
                    this.copyRelay.store.put("keyed.nodes", "entry-2", peer);
                }
            }
        });
    },
);

When(/^(\d+) times (\d+) calls are sent at once$/, async function(this: CopyScenario, times: string, calls: string) {
    for (let time = 0; time < Number(times); time += 1) {
        const sent = Array.from({ length: Number(calls) }, () => this.copyRelay.send({ path: this.copyPath }));
        this.copyAnswers.push(...await Promise.all(sent));
        await pause();
    }
});

When(
    /^(\d+) calls are sent again with their id( after its entry was replaced)?$/,
    async function(this: CopyScenario, count: string, replacement: string | undefined) {
        const { copyRelay, copyPath: path, copyAnswers } = this;
        for (let call = 0; call < Number(count); call += 1) {
            const answer = await copyRelay.send({ path });
            copyAnswers.push(answer);
            if (replacement !== undefined) {
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
    assert(counted > 0, "the node counted no id that was answered before");
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
