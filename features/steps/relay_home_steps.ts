/**
 * Steps about the regions to which calls are confined, before real relay nodes on loopback.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { makeConfiguration, PATH_BY_CALL_KIND, waitFor } from "../support/relay_fixture.js";
import type { EmptiedRelayScenario } from "./relay_emptied_domain_steps.js";

/** Version of the configuration with homes; later than those of the fixture. */
const VERSION = 50;

Given("a first node in region north and a second one in region south", function(this: EmptiedRelayScenario) {
    this.regions = { "zone-a": "north", "zone-b": "south" };
});

When(
    /^the route gets the homes (.*) and the workspace the homes (.*)$/,
    async function(this: EmptiedRelayScenario, routeHomes: string, workspaceHomes: string) {
        const configuration = makeConfiguration(VERSION, ["key-1"]) as { readonly Routes: object[]; readonly Tenants: object[] };
        for (const route of configuration.Routes) {
            Object.assign(route, { AllowedRegions: toRegions(routeHomes) });
        }
        for (const workspace of configuration.Tenants) {
            Object.assign(workspace, { AllowedRegions: toRegions(workspaceHomes) });
        }
        for (const { store } of this.relays) {
            store.put("keyed.op", "config", configuration);
        }
        await waitFor("the configuration is in force", async () => {
            const versions = await Promise.all(this.relays.map(relay => relay.readMetric("configuration_version")));
            return versions.every(version => version === VERSION);
        });
    },
);

When(
    /^(\d+) safe calls are sent to the first node, one after the other$/,
    async function(this: EmptiedRelayScenario, count: string) {
        for (let call = 0; call < Number(count); call += 1) {
            const answer = await this.relays[0]?.send({
                path: PATH_BY_CALL_KIND["safe"] ?? "",
                headers: { "Deadline-Ms": "3000" },
            });
            assert(answer !== undefined);
            this.callAnswers.push(answer);
        }
    },
);

Then(
    /^the calls have reached servers in (zone-a|zone-b|none) only, or were refused as not run for their homes if these are none$/,
    async function(this: EmptiedRelayScenario, expected: string) {
        const reached = Object.entries(this.zones).filter(([, engines]) =>
            engines.some(engine => engine.receivedCalls.length > 0)
        );
        assert.equal(reached.map(([zone]) => zone).join(", ") || "none", expected);
        const refusals = this.callAnswers.filter(({ status }) => status === 503);
        assert.equal(refusals.length, expected === "none" ? this.callAnswers.length : 0);
        for (const { body, headers } of refusals) {
            assert.match(body, /No backend server is in a region to which the call is confined; it has not run/);
            assert(Number(headers["retry-after"]) >= 0);
        }
        const metrics = await (await fetch(`http://${this.relays[0]?.node.metricsAddress}/metrics`)).text();
        const count = /local_answers_total\{place="homes",status="503"\} (\d+)/.exec(metrics)?.[1] ?? 0;
        assert.equal(Number(count), refusals.length / this.relays.length);
    },
);

Then(
    /^they are (handed to the second node and answered|refused as not run, and not handed on)$/,
    function(this: EmptiedRelayScenario, outcome: string) {
        const isHanded = outcome.startsWith("handed");
        const received = (zone: string) => (this.zones[zone] ?? []).reduce((sum, engine) => sum + engine.receivedCalls.length, 0);
        assert.equal(received("zone-a"), 0);
        assert.equal(received("zone-b"), isHanded ? this.callAnswers.length : 0);
        assert(this.callAnswers.every(({ status }) => status === (isHanded ? 200 : 503)));
        const ended = this.relays[0]?.lines.filter(({ msg }) => msg === "call: ended") ?? [];
        // Refused calls are always logged, with each peer that was asked; of the answered ones, only a sample is.
        assert(isHanded || ended.length === this.callAnswers.length && ended.every(({ detours }) => detours === undefined));
    },
);

function toRegions(text: string): readonly string[] {
    return text === "none" ? [] : text.split(", ");
}
