/**
 * gRPC server with the operator services of a node that runs on the virtual clock.
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

/** Running server, and the error of the last call to it. */
export interface OperatorServer {
    readonly grpcServer: GrpcServer;
    readonly address: string;
    lastError: unknown;
}

/** Servers by scenario. */
const operatorServers = new WeakMap<Scenario, OperatorServer>();

/** Valid settings that lack only the list of operators. */
const SETTINGS_WITHOUT_OPERATORS = `
node: entry-1
failureDomain: sul-a
listen: { callers: "127.0.0.1:1", peers: "127.0.0.1:2" }
platform: { log: "127.0.0.1:3", vmList: "127.0.0.1:4", weightStore: "127.0.0.1:5" }
tls: { plainText: true }
`;

/** Starts a server for a scenario's first node; it accepts the operator `ana` with the key `ana-key`. */
export async function startOperatorServer(scenario: Scenario): Promise<void> {
    const [node] = scenario.fleet.nodes;
    const settings = parseSettingsWithOperators(JSON.stringify([{ name: "ana", keyHash: hashKey("ana-key") }]));
    const findOwner = (key: string | undefined) => findOperator(settings, key);
    const grpcServer = new GrpcServer({
        services: [
            operatorService(new OperatorService({ node, limits: [], isReady: () => true }), findOwner),
            configurationOperatorService(new ConfigurationOperatorService(node), findOwner),
        ],
    });
    const port = await grpcServer.listen("127.0.0.1", 0);
    operatorServers.set(scenario, { grpcServer, address: `127.0.0.1:${port}`, lastError: undefined });
}

/** Stops the server of a scenario, if one was started. */
export function stopOperatorServer(scenario: Scenario): void {
    operatorServers.get(scenario)?.grpcServer.close();
}

/** Returns the server of a scenario. */
export function operatorServerOf(scenario: Scenario): OperatorServer {
    const operatorServer = operatorServers.get(scenario);
    assert.ok(operatorServer, "no step has started an operator server");
    return operatorServer;
}

/** Parses settings with the given list of operators, which is JSON text. */
export function parseSettingsWithOperators(operators: string): Settings {
    return parseSettings(`${SETTINGS_WITHOUT_OPERATORS}operators: ${operators}\n`, "test.yaml");
}
