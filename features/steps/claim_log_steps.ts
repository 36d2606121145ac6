/**
 * Steps about claim records in the log and the answers that callers get for idempotency keys.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { OperatorClient, type OperatorError } from "../../src/cli/mod.js";
import { ClaimIndex, ClaimStream, rankMembers, STREAM_PERIOD_MS, toClaimKey } from "../../src/coordination/mod.js";
import { ClaimService } from "../../src/daemon/mod.js";
import { ClaimHandler, claimWire, type IncomingCall } from "../../src/protocol/mod.js";
import { EventRing, HybridClock, VmState } from "../../src/state/mod.js";
import { claimOperatorService, claimPeerService, GrpcClaimClient, GrpcServer, PeerAuthorizer } from "../../src/transport/mod.js";
import { LogModel } from "../../standin/log_model.js";
import { LinkPoint } from "../../standin/node_link.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Time after which the deadline of every filing and lookup has passed, in milliseconds. */
const PAST_DEADLINE_MS = 20_000;

/** Time after which an outcome is committed to the log, in milliseconds. */
const OUTCOME_COMMIT_WAIT_MS = 1_000;

/** Time after which all nodes know of a change to the VM list, in milliseconds. */
const VM_LIST_PROPAGATION_MS = 3_000;

/** Milliseconds in each time unit of a clock skew. */
const MS_PER_UNIT: Readonly<Record<string, number>> = { days: 86_400_000, hour: 3_600_000 };

const FILING_PATH = "/v1/services/case-management/claims";
const LOOKUP_PATH = "/v1/services/case-management/status";

/** gRPC server and client of a scenario. */
interface GrpcFixture {
    readonly server: GrpcServer;
    readonly client: GrpcClaimClient;
    readonly address: string;
}

/** Claim stream of a node at its key limit, and the verdict on the last claim. */
interface FullStreamFixture {
    readonly clock: VirtualClock;
    readonly log: LogModel;
    readonly stream: ClaimStream;
    readonly ring: EventRing;
    verdict: claimWire.ClaimVerdict | undefined;
}

const fullStreamFixtures = new WeakMap<Scenario, FullStreamFixture>();
const claimIndexes = new WeakMap<Scenario, ClaimIndex>();
const grpcFixtures = new WeakMap<Scenario, GrpcFixture>();

After(function(this: Scenario) {
    const fixture = grpcFixtures.get(this);
    fixture?.client.close();
    fixture?.server.close();
});

When(/^a claim stream holds (.*)$/, function(this: Scenario, records: string) {
    const index = new ClaimIndex({ dated: true });
    for (const [offset, record] of records.split(", ").entries()) {
        if (record === "lost records") {
            index.markIncomplete();
        }
        else if (record !== "nothing") {
            index.apply(offset, parseEntry(record));
        }
    }
    claimIndexes.set(this, index);
});

Then("attempt {string} gets verdict {string}", function(this: Scenario, attempt: string, expected: string) {
    const verdict = claimIndexes.get(this)?.verdictFor(parseEntry(attempt === "c" ? "other-body claim c" : `claim ${attempt}`));
    const name = verdict === undefined ? "none" : claimWire.ClaimVerdictKind[verdict.kind];
    assert.equal(name.replace("CLAIM_VERDICT_KIND_", ""), expected);
});

When(/^(.*) and a filing is sent to node 1$/, async function(this: Scenario, fault: string) {
    const [link] = this.fleet.links;
    const key = findKeyCombinedBy(this, 2);
    switch (fault) {
        case "the log went down":
            this.fleet.log.faults.down = true;
            break;
        case "node 1 was partitioned from the log and the other nodes":
            link.isolatedFromLog = true;
            link.isolatedFromPeers = true;
            break;
        case "the log goes down as an append is committed":
            runAtLinkPoint(this, LinkPoint.AppendCommitted, async () => {
                link.loseAppendAnswers = true;
                this.fleet.links[1].loseAppendAnswers = true;
                this.fleet.log.faults.down = true;
            });
            break;
        case "the combiner stops while node 1 is partitioned from the log":
            link.isolatedFromLog = true;
            runAtLinkPoint(this, LinkPoint.BeforeAppend, async () => {
                this.fleet.links[1].pause();
                this.fleet.links[2].pause();
            });
            break;
        default:
            throw new Error(`Cannot inject fault "${fault}": it is unknown`);
    }
    await sendCallAndWait(this, 1, { path: FILING_PATH, idempotencyKey: key });
    this.fleet.log.faults.down = false;
    resumeAllNodes(this);
});

Given(
    /^a filing that (was answered|was answered before the log went down|was never sent)$/,
    async function(this: Scenario, past: string) {
        if (past !== "was never sent") {
            await sendCallAndWait(this, 1, { path: FILING_PATH, idempotencyKey: "filing" });
        }
        this.fleet.log.faults.down = past === "was answered before the log went down";
    },
);

Given("no backend server accepts work", async function(this: Scenario) {
    for (const id of this.fleet.services.keys()) {
        this.fleet.setVmState(id, VmState.Leaving);
    }
    await this.fleet.clock.advance(VM_LIST_PROPAGATION_MS);
});

When("the caller asks again at node 2", async function(this: Scenario) {
    await sendCallAndWait(this, 2, { path: FILING_PATH, idempotencyKey: "filing" });
});

When("a filing waits for the log at node 1", async function(this: Scenario) {
    sendCall(this, 1, { path: FILING_PATH, idempotencyKey: "filing" });
    await this.fleet.clock.advance(OUTCOME_COMMIT_WAIT_MS);
});

Then("no backend server has outstanding work", function(this: Scenario) {
    const outstanding = [...this.fleet.nodes[0].table.all].reduce((sum, server) => sum + server.outstanding, 0);
    assert.equal(outstanding, 0);
});

Then("a status lookup without a key and a dossier summary are answered", async function(this: Scenario) {
    await sendCallAndWait(this, 1, { method: "GET", path: LOOKUP_PATH });
    assert.equal(this.answer.writer.head?.status, 200);
    const body = Buffer.from(JSON.stringify({ model: "default", max_tokens: 10, messages: [{ role: "user", content: "One." }] }));
    await sendCallAndWait(this, 1, { operationName: "dossier-summary", body });
    assert.equal(this.answer.writer.head?.status, 200);
});

Given(
    /^a fleet whose log retains records for (\d+) seconds and whose node 2 has a clock that is (.*)$/,
    async function(this: Scenario, seconds: string, skew: string) {
        await this.startFleet("rastro-sul", {
            log: { retentionMs: Number(seconds) * 1_000 },
            clockSkewsMs: [0, parseClockSkewMs(skew)],
        });
    },
);

Given("a filing with a dated key was answered at node 1", async function(this: Scenario) {
    await sendCallAndWait(this, 1, { path: FILING_PATH, idempotencyKey: findDatedKeyCombinedBy(this, 1) });
    assert.equal(this.answer.writer.head?.status, 200);
    await this.fleet.clock.advance(OUTCOME_COMMIT_WAIT_MS);
});

When("the caller asks again at node 2 after {int} seconds", async function(this: Scenario, seconds: number) {
    const { key: idempotencyKey } = JSON.parse(this.answers[0].writer.text) as { readonly key: string };
    await this.fleet.clock.advance(seconds * 1_000);
    // Without peers, node 2 reads the stream itself and judges the age of the key by its own clock.
    this.fleet.links[1].isolatedFromPeers = true;
    await sendCallAndWait(this, 2, { path: FILING_PATH, idempotencyKey });
});

Given("a fleet that accepts only dated keys", async function(this: Scenario) {
    await this.startFleet("rastro-sul", { keyRules: { requireDatedKeys: true } });
});

When(/^a filing with (.*) is sent to a node of it$/, async function(this: Scenario, kind: string) {
    const dated = toDatedKey(this.fleet.clock.now());
    const keys = new Map([["a UUID of version 7", dated], ["a UUID of version 4", dated.replace("-7", "-4")]]);
    await sendCallAndWait(this, 1, { path: FILING_PATH, idempotencyKey: keys.get(kind) ?? "filing" });
});

Then("the filing is answered with status {int}", function(this: Scenario, status: number) {
    assert.equal(this.answer.writer.head?.status, status, this.answer.writer.text);
});

Given(
    /^(all nodes reach each other|no node reaches another|each node lists only itself|node 1 crashes as it dispatches)$/,
    async function(this: Scenario, state: string) {
        for (const [index, link] of this.fleet.links.entries()) {
            link.isolatedFromPeers = state === "no node reaches another";
            if (state === "each node lists only itself") {
                const node = this.fleet.nodes[index];
                const ownVms = node.entryVms.filter(vm => vm.id === node.settings.node);
                Object.defineProperty(node, "entryVms", { get: () => ownVms, set: () => undefined });
            }
        }
        if (state === "node 1 crashes as it dispatches") {
            this.fleet.links[0].listener = async point => {
                if (point === LinkPoint.Dispatched) {
                    this.fleet.links[0].pause();
                    this.fleet.removeVm("entry-1");
                }
            };
        }
    },
);

When(
    /^lookups with the same key are sent to (?:nodes 1 and (2)|node (1) twice) at once$/,
    async function(this: Scenario, other: string | undefined, same: string | undefined) {
        sendLookup(this, 1);
        sendLookup(this, Number(other ?? same));
        await this.fleet.clock.advance(PAST_DEADLINE_MS);
    },
);

When(/^lookups with the same key are sent to node 1, then node (\d)$/, async function(this: Scenario, other: string) {
    sendLookup(this, 1);
    await this.fleet.clock.advance(PAST_DEADLINE_MS);
    sendLookup(this, Number(other));
    await this.fleet.clock.advance(PAST_DEADLINE_MS);
});

Then("the plain services got {int} requests", function(this: Scenario, count: number) {
    const requests = [...this.fleet.services.values()].reduce((sum, service) => sum + service.requests, 0);
    assert.equal(requests, count);
});

Then(
    '{int} of the callers got a complete answer, and every refusal says executed "unknown"',
    function(this: Scenario, count: number) {
        const heads = this.answers.map(answer => answer.writer.head?.status);
        assert.equal(heads.filter(status => status === 200).length, count);
        for (const answer of this.answers) {
            if (answer.writer.head !== undefined && answer.writer.head.status !== 200) {
                assert.match(answer.writer.text, /"executed":"unknown"/);
            }
        }
        resumeAllNodes(this);
    },
);

When("a filing is answered at node 1, which then stops gracefully", async function(this: Scenario) {
    // Without peers, only the node itself can append its outcome to the log.
    this.fleet.links[0].isolatedFromPeers = true;
    await sendCallAndWait(this, 1, { path: FILING_PATH, idempotencyKey: "filing" });
    await this.fleet.clock.runUntil(this.fleet.nodes[0].flush());
    this.fleet.links[0].pause();
    this.fleet.removeVm("entry-1");
    await this.fleet.clock.advance(VM_LIST_PROPAGATION_MS);
});

Given(
    "a claim stream of a node at its key limit that holds the claim of attempt {string}",
    async function(this: Scenario, attempt: string) {
        const clock = new VirtualClock();
        const log = new LogModel(clock);
        const ring = new EventRing("node", new HybridClock(clock));
        let isFull = false;
        const stream = new ClaimStream({ clock, ring, log, stream: "claims-undated-0", isFull: () => isFull });
        await clock.runUntil(stream.submit(parseEntry(`claim ${attempt}`), clock.now() + OUTCOME_COMMIT_WAIT_MS));
        isFull = true;
        fullStreamFixtures.set(this, { clock, log, stream, ring, verdict: undefined });
    },
);

Given("a claim stream whose next append fails with an unexpected error", function(this: Scenario) {
    const clock = new VirtualClock();
    const log = new LogModel(clock);
    log.faults.nextAppendError = new RangeError("unexpected");
    const ring = new EventRing("node", new HybridClock(clock));
    const stream = new ClaimStream({ clock, ring, log, stream: "claims-undated-0" });
    fullStreamFixtures.set(this, { clock, log, stream, ring, verdict: undefined });
});

When("attempt {string} claims the {word} key", async function(this: Scenario, attempt: string, key: string) {
    const node = fullStreamFixtures.get(this) as FullStreamFixture;
    const known = parseEntry(`claim ${attempt}`);
    const entry = key === "known" ? known : { ...known, key: "new" };
    node.verdict = await node.clock.runUntil(node.stream.submit(entry, node.clock.now() + OUTCOME_COMMIT_WAIT_MS));
});

Then(
    "the claim's verdict is {string} and the log holds {int} records",
    function(this: Scenario, verdict: string, records: number) {
        const node = fullStreamFixtures.get(this) as FullStreamFixture;
        assert.equal(claimWire.ClaimVerdictKind[node.verdict?.kind ?? 0], `CLAIM_VERDICT_KIND_${verdict}`);
        assert.equal(node.log.appendCount, records);
    },
);

Then("the unexpected error is recorded as a warning", function(this: Scenario) {
    const { ring } = fullStreamFixtures.get(this) as FullStreamFixture;
    assert(ring.list().some(event => event.kind === "commitFailed" && event.warning));
});

When("a filing is sent to node 1, another to node 2, and one still runs at node 3", async function(this: Scenario) {
    sendCall(this, 1, { path: FILING_PATH, idempotencyKey: "filing of node 1" });
    sendCall(this, 2, { path: FILING_PATH, idempotencyKey: "filing of node 2" });
    await this.fleet.clock.advance(PAST_DEADLINE_MS);
    for (const service of this.fleet.services.values()) {
        service.faults.delayMs = VM_LIST_PROPAGATION_MS;
    }
    sendCall(this, 3, { path: FILING_PATH, idempotencyKey: "filing of node 3" });
    await this.fleet.clock.advance(OUTCOME_COMMIT_WAIT_MS);
});

Then("the list of unknown calls at node 3 names only the filing of node 1", async function(this: Scenario) {
    const service = new ClaimService(this.fleet.nodes[2]);
    const { calls } = await this.fleet.clock.runUntil(service.listUnknown({ sinceMs: 3_600_000 }));
    assert.deepEqual(calls.map(({ key, operation, node }) => [key, operation, node]), [
        ["filing of node 1", "claim-filing", "entry-1"],
    ]);
    resumeAllNodes(this);
});

Given("a daemon's gRPC server with one unknown call", async function(this: Scenario) {
    const handler = new FixedClaimHandler();
    const findOperator = (key: string | undefined) => key === "operator" ? "ana" : undefined;
    const server = new GrpcServer({
        services: [claimPeerService(handler, new PeerAuthorizer()), claimOperatorService(handler, findOperator)],
    });
    const address = `127.0.0.1:${await server.listen("127.0.0.1", 0)}`;
    grpcFixtures.set(this, { server, client: new GrpcClaimClient(), address });
});

Then("a claim gets its verdict over gRPC", async function(this: Scenario) {
    const { client, address } = grpcFixtures.get(this) as GrpcFixture;
    const verdict = await client.commit(
        address,
        { stream: "claims-undated-0", entry: parseEntry("claim a"), waitMs: 5_000 },
        10_000,
    );
    assert.deepEqual([verdict.owner, Buffer.from(verdict.outcome?.body ?? []).toString()], ["entry-9", "a"]);
});

Then("an operator gets the list over gRPC, and a caller without a key does not", async function(this: Scenario) {
    const { address } = grpcFixtures.get(this) as GrpcFixture;
    const operator = new OperatorClient(address, "operator");
    const unauthenticated = new OperatorClient(address, undefined);
    try {
        assert.equal((await operator.listUnknown({ sinceMs: 60_000 })).calls[0].key, "lost");
        await assert.rejects(
            unauthenticated.listUnknown({ sinceMs: 60_000 }),
            (error: unknown) => (error as OperatorError).isUnauthenticated,
        );
    }
    finally {
        operator.close();
        unauthenticated.close();
    }
});

/** Claim handler with fixed replies; the body of an outcome is the attempt of the claim. */
class FixedClaimHandler extends ClaimHandler {
    override async commit({ entry }: claimWire.CommitClaimRequest): Promise<claimWire.ClaimVerdict> {
        const outcome = { status: 200, contentType: "text/plain", body: Buffer.from(entry?.attempt ?? ""), kept: true };
        return { kind: claimWire.ClaimVerdictKind.CLAIM_VERDICT_KIND_RECORDED, owner: "entry-9", deadlineMs: 0, outcome };
    }

    override async listUnknown(): Promise<claimWire.ListUnknownReply> {
        return { calls: [{ workspace: "w", key: "lost", operation: "o", node: "entry-9", attempt: "a", atMs: 1 }] };
    }
}

/** Parses an entry such as `claim a`; the prefix `other-body` changes its digest. */
function parseEntry(text: string): claimWire.ClaimEntry {
    const [, otherBody, kind, attempt] = /^(other-body )?(claim|outcome|release) (\w)$/.exec(text) ?? [];
    const kinds = claimWire.ClaimEntryKind;
    const kindByName: Readonly<Record<string, claimWire.ClaimEntryKind>> = {
        claim: kinds.CLAIM_ENTRY_KIND_CLAIM,
        outcome: kinds.CLAIM_ENTRY_KIND_OUTCOME,
        release: kinds.CLAIM_ENTRY_KIND_RELEASE,
    };
    return {
        kind: kindByName[kind],
        workspace: "workspace",
        key: "key",
        digest: Buffer.from(otherBody ?? "body"),
        attempt,
        node: "entry-1",
        operation: "claim-filing",
        atMs: 0,
        deadlineMs: 0,
        outcome: undefined,
    };
}

/** Parses a skew such as `1 hour slow`, and anything else as no skew. */
function parseClockSkewMs(skew: string): number {
    const [, count = "0", unit = "days", direction = "fast"] = /^(\d+) (days|hour) (slow|fast)$/.exec(skew) ?? [];
    return Number(count) * MS_PER_UNIT[unit] * (direction === "slow" ? -1 : 1);
}

/** Returns a UUID of version 7 with a creation time. */
function toDatedKey(createdAtMs: number): string {
    const time = Math.floor(createdAtMs).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-000000000001`;
}

/** Returns an undated key whose stream has a node as its combiner. */
function findKeyCombinedBy(scenario: Scenario, number: number): string {
    const { fleet } = scenario;
    const combiner = fleet.nodes[number - 1].settings.node;
    for (let count = 0;; count++) {
        const { stream } = toClaimKey(fleet.document.workspaces[0].name, `filing-${count}`);
        if (rankMembers(stream, fleet.nodes[0].live)[0].id === combiner) {
            return `filing-${count}`;
        }
    }
}

/** Returns a dated key, as recent as possible, whose stream has a node as its combiner. */
function findDatedKeyCombinedBy(scenario: Scenario, number: number): string {
    const { fleet } = scenario;
    for (let atMs = fleet.clock.now();; atMs -= STREAM_PERIOD_MS) {
        const { stream } = toClaimKey(fleet.document.workspaces[0].name, toDatedKey(atMs));
        if (rankMembers(stream, fleet.nodes[0].live)[0].id === fleet.nodes[number - 1].settings.node) {
            return toDatedKey(atMs);
        }
    }
}

/** Runs an action whenever an operation on a claim stream reaches a point of a link. */
function runAtLinkPoint(scenario: Scenario, target: LinkPoint, action: () => Promise<void>): void {
    for (const link of scenario.fleet.links) {
        link.listener = async (point, stream) => {
            if (point === target && stream?.startsWith("claims-")) {
                await action();
            }
        };
    }
}

function sendCall(scenario: Scenario, number: number, call: Partial<IncomingCall>): void {
    scenario.answers.push(scenario.fleet.send(scenario.fleet.nodes[number - 1], call));
}

function sendLookup(scenario: Scenario, number: number): void {
    sendCall(scenario, number, { method: "GET", path: LOOKUP_PATH, idempotencyKey: "lookup" });
}

async function sendCallAndWait(scenario: Scenario, number: number, call: Partial<IncomingCall>): Promise<void> {
    sendCall(scenario, number, call);
    await scenario.fleet.clock.runUntil(scenario.answer.done);
}

/** Resumes all nodes and removes their link listeners. */
function resumeAllNodes(scenario: Scenario): void {
    for (const link of scenario.fleet.links) {
        link.listener = async () => undefined;
        link.resume();
    }
}
