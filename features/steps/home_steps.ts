/**
 * Steps about the regions to which calls are confined, without a network.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders, PlatformRecords } from "../../platform/mod.js";
import {
    type AdmittedCall,
    DetourPeers,
    fromDetourCall,
    homesOf,
    NodeDirectory,
    PeerTable,
    ServerFilter,
    toDetourCall,
} from "../../src/coordination/relay/mod.js";
import { parseRelaySettings, recordApplyMs, regionsOf, type RelaySettings } from "../../src/daemon/relay/mod.js";
import { DetourCall, DetourRoute, type RelayAnswer } from "../../src/protocol/relay/mod.js";
import { type Homes, SeededRandom } from "../../src/state/relay/mod.js";
import { KeyedLogModel } from "../../standin/keyed_log_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { makeConfiguration } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Regions of the failure domains a and b; that of c is unknown. */
const REGIONS: ReadonlyMap<string, string> = new Map([["a", "north"], ["b", "south"]]);

/** Choices after which each peer that may be chosen has been. */
const CHOICES = 200;

/** State of a scenario of this file. */
interface HomeScenario extends Scenario {
    combinedHomes: Homes | undefined;
    detourPeers: DetourPeers;
    sentCall: Uint8Array;
    settings: RelaySettings;
}

When(
    /^a configuration gives a route (.*) and a workspace (.*)$/,
    function(this: HomeScenario, routeHomes: string, workspaceHomes: string) {
        const configuration = makeConfiguration(1, ["key"]) as { readonly Routes: object[]; readonly Tenants: object[] };
        Object.assign(configuration.Routes[0] ?? {}, toField(routeHomes));
        Object.assign(configuration.Tenants[0] ?? {}, toField(workspaceHomes));
        const value = Buffer.from(JSON.stringify(configuration));
        const decoded = new PlatformRecords().decodeConfiguration({ key: "config", value, offset: 0 });
        const [route] = decoded?.routes.routes ?? [];
        assert(route !== undefined);
        this.combinedHomes = homesOf(route, decoded?.workspaceByKey.get("key"));
    },
);

Then(/^a call of both has the homes (.*)$/, function(this: HomeScenario, homes: string) {
    assert.deepEqual(this.combinedHomes, toHomes(homes));
});

Given("nodes in a, b and c that can take calls", function(this: HomeScenario) {
    const clock = new VirtualClock();
    const random = new SeededRandom(1);
    const directory = new NodeDirectory({
        log: new KeyedLogModel(clock),
        clock,
        random,
        node: "entry",
        failureDomain: "a",
        cores: 1,
        address: () => "127.0.0.1:1",
        onError: () => undefined,
        onRewrite: () => undefined,
    });
    for (const domain of ["a", "b", "c"]) {
        directory.update(domain, { address: "127.0.0.1:2", failureDomain: domain, cores: 1 });
    }
    const filter = new ServerFilter(new Set(), domain => REGIONS.get(domain));
    this.detourPeers = new DetourPeers({
        clock,
        random,
        failureDomain: "a",
        directory,
        peers: new PeerTable(clock),
        isAtHome: (domain, homes) => filter.isAtHome(domain, homes),
    });
});

Then(
    /^a call with the homes (.*) may be handed to the nodes in (.*)$/,
    function(this: HomeScenario, homes: string, expected: string) {
        const chosen = new Set<string>();
        for (let choice = 0; choice < CHOICES; choice += 1) {
            const peer = this.detourPeers.choose("service", new Set(), toHomes(homes));
            if (peer !== undefined) {
                chosen.add(peer.node);
                // A peer with more calls is chosen less, so that each one's turn comes.
                this.detourPeers.recordStart(peer);
            }
        }
        assert.equal([...chosen].sort().join(", ") || "none", expected);
    },
);

When(/^a call with the homes (.*) is handed to a peer$/, function(this: HomeScenario, homes: string) {
    const admitted = read({
        ...DetourCall.decode(new Uint8Array()),
        headers: ["Host", "app.example", "Request-Id", "call-1"],
        method: "POST",
        target: "/safe/x",
        service: "service",
        route: { ...DetourRoute.decode(new Uint8Array()), name: "safe", timeoutMs: 5_000 },
        workspace: "clinic",
    });
    assert(typeof admitted !== "string");
    const confined = { ...admitted, route: { ...admitted.route, homes: toHomes(homes) } };
    this.sentCall = DetourCall.encode(toDetourCall(confined, { nowMs: 0, maxAttempts: 2, lastEventId: undefined })).finish();
});

Then(/^the peer reads the homes (.*)$/, function(this: HomeScenario, homes: string) {
    const admitted = read(DetourCall.decode(this.sentCall));
    assert(typeof admitted !== "string");
    assert.deepEqual(homesOf(admitted.route, admitted.workspace), toHomes(homes));
    assert.equal(admitted.route.timeoutMs, 5_000);
});

Then(
    /^a peer of an earlier build (reads it as before|refuses it as not run)$/,
    function(this: HomeScenario, what: string) {
        // An earlier build skips the fields 14 and 15, and refuses what it cannot read with a status that means "not run".
        const admitted = read({ ...DetourCall.decode(this.sentCall), homeRegions: [], confinedRoute: undefined });
        assert.equal(typeof admitted === "string", what.startsWith("refuses"));
    },
);

When(/^a node in a reads settings with the failure domains (.*)$/, function(this: HomeScenario, text: string) {
    this.settings = parseRelaySettings(
        `
node: entry
failureDomain: a
failureDomains: ${text}
listen: { callers: "127.0.0.1:1", readiness: "127.0.0.1:2", peers: "127.0.0.1:3" }
log: "127.0.0.1:4"
drain: { graceSeconds: 8 }
configuration: { applyMs: 3000 }
servers: { leaveMs: 2000 }
retries: { fraction: 0.2, windowSeconds: 10, slackCalls: 52 }
rollouts: { maxShare: 0.1, slackCalls: 50, rollbackMs: 5000 }
`,
        "test.yaml",
    );
});

Then(/^it knows the regions (.*)$/, function(this: HomeScenario, expected: string) {
    const regions = [...regionsOf(this.settings)].map(entry => entry.join(" ")).sort();
    assert.equal(regions.join(", ") || "none", expected);
});

Then("it applies records within {int} ms", function(this: HomeScenario, applyMs: number) {
    assert.equal(recordApplyMs(this.settings), applyMs);
});

function read(message: DetourCall): AdmittedCall | string {
    return fromDetourCall(message, {
        headers: new PlatformHeaders(),
        answer: {} as RelayAnswer,
        callerGone: new AbortController().signal,
        nowMs: 0,
    });
}

function toHomes(text: string): Homes | undefined {
    return text === "none" ? undefined : new Set(text === "no region" ? [] : text.split(", "));
}

function toField(text: string): Readonly<Record<string, unknown>> {
    return text === "none" ? {} : { AllowedRegions: text === "an empty list" ? [] : text.split(", ") };
}
