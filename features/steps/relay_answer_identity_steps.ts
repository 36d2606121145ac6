/**
 * Steps about answers on connections that are used again, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineServer } from "../../platform/standin/engine_server.js";
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
import { type RepeatedAnswer, RepeatingServer } from "../support/repeating_server.js";
import type { Scenario } from "../support/world.js";

/** Port that refuses connections. It is outside the range from which listeners get a free port. */
const REFUSING_PORT = 1;

/** Statuses that promise that a call has not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Lines of a head that frame the body. */
const FRAMING_LINES = /(?:content-length|transfer-encoding): [^\r]*\r\n/gi;

const ANSWER_BY_FORM: Readonly<Record<string, RepeatedAnswer>> = {
    "with its length": { format: formatWholeAnswer, copy: text => text },
    "in chunks": { format: id => formatChunkedAnswer(id, formatBody(id)), copy: text => text },
    "without a length": { format: formatWholeAnswer, copy: text => text.replace(FRAMING_LINES, "") },
    "after an interim head": { format: formatWholeAnswer, copy: text => `HTTP/1.1 102 Processing\r\n\r\n${text}` },
    "and refuses every other call": { format: formatWholeAnswer, copy: text => text },
    "as a stream": { format: id => formatChunkedAnswer(id, formatEvents(id)), copy: text => text },
    "as a stream without a length": {
        format: id => formatChunkedAnswer(id, formatEvents(id)),
        copy: text => text.replace(FRAMING_LINES, ""),
    },
    "as a stream, and refuses every other call": {
        format: id => formatChunkedAnswer(id, formatEvents(id)),
        copy: text => text,
    },
};

/** State of a scenario of this file. */
interface IdentityScenario extends Scenario {
    identityRelay: RelayFixture;
    repeatingServer: RepeatingServer;
    identityAnswers: CallerAnswer[];
}

After(async function(this: IdentityScenario) {
    await this.identityRelay?.stop();
    this.repeatingServer?.close();
});

Given(
    /^a relay whose server sends each answer once more before the next, (.*)$/,
    async function(this: IdentityScenario, form: string) {
        this.repeatingServer = await startServer(form, readCallId, formatServerRefusal);
        const entry = new EngineServer("engine-1").serverEntry("service", { Address: this.repeatingServer.address });
        this.identityRelay = new RelayFixture();
        await this.identityRelay.start([], false, store => store.put("keyed.servers", "engine-1", entry));
    },
);

Given(
    /^a relay that reaches no server, and whose peer sends each answer once more before the next, (.*)$/,
    async function(this: IdentityScenario, form: string) {
        this.repeatingServer = await startServer(form, readDetourId, formatPeerRefusal);
        const entry = new EngineServer("engine-1").serverEntry("service", { Address: `127.0.0.1:${REFUSING_PORT}` });
        this.identityRelay = new RelayFixture();
        await this.identityRelay.start([], false, store => {
            store.put("keyed.servers", "engine-1", entry);
            store.put("keyed.nodes", "entry-2", { address: this.repeatingServer.address, failureDomain: "zone-a", cores: 1 });
        });
    },
);

async function startServer(
    form: string,
    readId: (request: Buffer) => string | undefined,
    refuse: (id: string) => string,
): Promise<RepeatingServer> {
    const answer = ANSWER_BY_FORM[form];
    assert(answer !== undefined, `unknown form: ${form}`);
    const refusal = form.endsWith("refuses every other call") ? { formatRefusal: refuse } : {};
    const server = new RepeatingServer({ ...answer, ...refusal }, readId);
    await server.start();
    return server;
}

When("{int} {string} calls are sent over kept connections", async function(this: IdentityScenario, count: number, kind: string) {
    this.identityAnswers = [];
    for (let call = 0; call < count; call += 1) {
        this.identityAnswers.push(await this.identityRelay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" }));
    }
});

Then(
    "no caller gets the answer of another call, and none whose call has run is told that it has not",
    function(this: IdentityScenario) {
        const { copies, runIds } = this.repeatingServer;
        const served = this.identityAnswers.filter(({ status }) => status === 200);
        assert(copies > 0 && runIds.length > 0, `${copies} copies, ${runIds.length} runs`);
        for (const { id, body, isComplete } of served) {
            assert(!isComplete || [formatBody(id), formatEvents(id)].includes(body), `call ${id} got ${body}`);
            assert(isComplete || formatEvents(id).startsWith(body), `call ${id} got ${body}`);
        }
        for (const { id, status } of this.identityAnswers) {
            assert(!NOT_RUN_STATUSES.includes(status) || !runIds.includes(id), `call ${id} ran and got status ${status}`);
        }
        assert.deepEqual(this.identityRelay.errorLines, []);
    },
);
