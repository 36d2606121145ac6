/**
 * Operator side of a daemon over gRPC, in front of a node under the virtual clock.
 *
 * @module
 */

import assert from "node:assert/strict";
import {
    ConfigurationOperatorService,
    findOperator,
    OperatorService,
    parseSettings,
    type Settings,
} from "../../src/daemon/mod.js";
import { configurationOperatorService, GrpcServer, operatorService } from "../../src/transport/mod.js";
import { hashKey } from "../../standin/deployment.js";
import type { Scenario } from "./world.js";

/** Operator side, and what came of the last call to it. */
export interface OperatorServer {
    readonly grpcServer: GrpcServer;
    readonly address: string;
    lastError: unknown;
}

/** Operator sides by scenario. */
const operatorServers = new WeakMap<Scenario, OperatorServer>();

/** Settings text without its operators. */
const SETTINGS_WITHOUT_OPERATORS = `
node: entry-1
failureDomain: sul-a
listen: { callers: "127.0.0.1:1", peers: "127.0.0.1:2" }
platform: { log: "127.0.0.1:3", vmList: "127.0.0.1:4", weightStore: "127.0.0.1:5" }
tls: { plainText: true }
`;

/** Starts the operator side of a scenario's first node; it knows the operator `ana` with the key `ana-key`. */
export async function startOperatorServer(scenario: Scenario): Promise<void> {
    const [node] = scenario.fleet.nodes;
    const settings = parseSettingsWithOperators(JSON.stringify([{ name: "ana", keyHash: hashKey("ana-key") }]));
    const find = (key: string | undefined) => findOperator(settings, key);
    const server = new GrpcServer({
        services: [
            operatorService(new OperatorService({ node, limits: [], isReady: () => true }), find),
            configurationOperatorService(new ConfigurationOperatorService(node), find),
        ],
    });
    const port = await server.listen("127.0.0.1", 0);
    operatorServers.set(scenario, { grpcServer: server, address: `127.0.0.1:${port}`, lastError: undefined });
}

/** Stops the operator side of a scenario, if there is one. */
export function stopOperatorServer(scenario: Scenario): void {
    operatorServers.get(scenario)?.grpcServer.close();
}

/** Returns the operator side of a scenario. */
export function operatorServerOf(scenario: Scenario): OperatorServer {
    const side = operatorServers.get(scenario);
    assert.ok(side, "no step has started an operator side");
    return side;
}

/** Reads settings with the operators given as JSON text. */
export function parseSettingsWithOperators(operators: string): Settings {
    return parseSettings(`${SETTINGS_WITHOUT_OPERATORS}operators: ${operators}\n`, "test.yaml");
}
