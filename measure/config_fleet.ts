/**
 * Measurement of configuration changes on a fleet of daemon processes.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { OperatorClient } from "../src/cli/mod.js";
import { ChangeKind, ItemList } from "../src/state/mod.js";
import type { Deployment } from "../standin/deployment.js";
import { LocalFleet } from "../standin/local_fleet.js";
import { ForwarderState, TcpForwarder } from "../standin/tcp_forwarder.js";

/** Configuration changes in each phase. */
const CHANGES_PER_PHASE = 15;

/** Interval between changes, in milliseconds. */
const CHANGE_INTERVAL_MS = 200;

/** Time after the last change of a phase for it to become active, in milliseconds. */
const PHASE_SETTLE_MS = 5_000;

/** Interval between reads of a daemon's version, in milliseconds. */
const VERSION_POLL_INTERVAL_MS = 500;

/** Failure domains; the last one is {@linkcode ISOLATED_DOMAIN}. */
const DOMAINS = ["domain-a", "domain-b", "domain-c"] as const;

/** Failure domain that is isolated from the log. */
const ISOLATED_DOMAIN = "domain-c";

/** Time over which the traffic of an idle fleet is measured, in milliseconds. */
const IDLE_WINDOW_MS = 10_000;

/** Operator key of the fleet. */
const OPERATOR_KEY = "measure-operator-key";

/** Phases, each with the state of the connection between the isolated domain and the log. */
const PHASES: readonly { readonly name: string; readonly state: ForwarderState }[] = [
    { name: "whole", state: ForwarderState.Open },
    { name: "cut, refusing", state: ForwarderState.Refusing },
    { name: "healed", state: ForwarderState.Open },
    { name: "cut, silent", state: ForwarderState.Blackholed },
    { name: "healed again", state: ForwarderState.Open },
];

/** Activation delays of one phase. */
export interface PhaseFigures {
    readonly daemons: number;
    readonly phase: string;
    /** Delays from the operator's call to activation, in milliseconds, one per change and daemon; `Infinity` if never activated. */
    readonly delaysMs: readonly number[];
}

/** Results of one fleet. */
export interface FleetFigures {
    readonly phases: readonly PhaseFigures[];
    /** Reads at which a daemon reported an older version than at the previous read. */
    readonly reverts: number;
    /** Bytes per second between one daemon and the log, in both directions, while nothing changes. */
    readonly idleLogBytesPerSecond: number;
}

/** Change that the fleet accepted. */
interface AcceptedChange {
    readonly version: number;
    readonly requestedAtMs: number;
}

/**
 * Changes the configuration of a fleet, connected and with one failure domain isolated from the log.
 *
 * @param daemonCount Number of daemons, distributed over three failure domains.
 */
export async function measureFleet(daemonCount: number): Promise<FleetFigures> {
    const forwarder = await TcpForwarder.listen();
    const fleet = new LocalFleet({
        deployment: makeDeployment(daemonCount),
        operatorKey: OPERATOR_KEY,
        logAddressFor: (failureDomain, logAddress) => {
            forwarder.target = logAddress;
            return failureDomain === ISOLATED_DOMAIN ? forwarder.address : logAddress;
        },
    });
    try {
        await fleet.start();
        return await runPhases(fleet, forwarder);
    }
    finally {
        await fleet.stop();
        forwarder.close();
    }
}

async function runPhases(fleet: LocalFleet, forwarder: TcpForwarder): Promise<FleetFigures> {
    const clients = fleet.daemons.map(daemon => new OperatorClient(daemon.peerAddress, OPERATOR_KEY));
    const stopped = new AbortController();
    const revertCounts = clients.map(client => countReverts(client, stopped.signal));
    try {
        const idleLogBytesPerSecond = await measureIdleBytesPerSecond(fleet, forwarder);
        const changes: { readonly phase: string; readonly accepted: readonly AcceptedChange[] }[] = [];
        for (const { name, state } of PHASES) {
            forwarder.setState(state);
            changes.push({ phase: name, accepted: await makeChanges(clients[0]) });
        }
        const activationTimes = await Promise.all(clients.map(readActivationTimes));
        stopped.abort();
        const reverts = (await Promise.all(revertCounts)).reduce((sum, count) => sum + count, 0);
        const phases = changes.map(({ phase, accepted }) => ({
            phase,
            daemons: clients.length,
            delaysMs: accepted.flatMap(change =>
                activationTimes.map(times => (times.get(change.version) ?? Infinity) - change.requestedAtMs)
            ),
        }));
        return { phases, reverts, idleLogBytesPerSecond };
    }
    finally {
        stopped.abort();
        for (const client of clients) {
            client.close();
        }
    }
}

async function measureIdleBytesPerSecond(fleet: LocalFleet, forwarder: TcpForwarder): Promise<number> {
    const startBytes = forwarder.bytes;
    await sleep(IDLE_WINDOW_MS);
    const isolatedDaemonCount = fleet.daemons.filter(daemon => daemon.failureDomain === ISOLATED_DOMAIN).length;
    return (forwarder.bytes - startBytes) * 1_000 / (IDLE_WINDOW_MS * isolatedDaemonCount);
}

async function makeChanges(client: OperatorClient): Promise<readonly AcceptedChange[]> {
    const accepted: AcceptedChange[] = [];
    for (let index = 0; index < CHANGES_PER_PHASE; index += 1) {
        const { version } = await client.readConfiguration();
        const item = { name: "batch", rank: version % 10 };
        const changes = JSON.stringify([{ kind: ChangeKind.Set, list: ItemList.Tiers, item }]);
        const requestedAtMs = performance.timeOrigin + performance.now();
        const reply = await client.changeConfiguration({ id: randomUUID(), madeAgainst: version, changes });
        if (reply.problems.length > 0) {
            throw new Error(`Cannot change configuration: ${reply.problems.join(" ")}`);
        }
        accepted.push({ version: reply.version, requestedAtMs });
        await sleep(CHANGE_INTERVAL_MS);
    }
    await sleep(PHASE_SETTLE_MS);
    return accepted;
}

/** Reads from the timeline of a daemon when it activated each version, in milliseconds since the Unix epoch. */
async function readActivationTimes(client: OperatorClient): Promise<ReadonlyMap<number, number>> {
    const request = { requestId: "", rollout: "", peer: "", sinceMs: 0, untilMs: 0, follow: false };
    const times = new Map<number, number>();
    for await (const event of client.readTimeline(request)) {
        if (event.kind === "inForce") {
            times.set(Number(/^Version (\d+)/.exec(event.text)?.[1]), event.wallMs);
        }
    }
    return times;
}

async function countReverts(client: OperatorClient, signal: AbortSignal): Promise<number> {
    let reverts = 0;
    let lastVersion = -1;
    while (!signal.aborted) {
        const { version } = await client.readConfiguration();
        reverts += version < lastVersion ? 1 : 0;
        lastVersion = version;
        await sleep(VERSION_POLL_INTERVAL_MS);
    }
    return reverts;
}

function makeDeployment(daemonCount: number): Deployment {
    return {
        region: "measure",
        failureDomains: [...DOMAINS],
        entryVms: Array.from({ length: daemonCount }, (value, index) => ({ failureDomain: DOMAINS[index % DOMAINS.length] })),
        pools: [{ name: "language-model", kind: "model", servers: [] }],
        workspaces: [{ name: "clinic", key: "measure-clinic-key" }],
        configuration: {
            tiers: [{ name: "batch", rank: 0 }],
            operations: [{
                name: "summary",
                tier: "batch",
                pool: "language-model",
                semantics: "repeatable",
                promise: { answerMs: 30_000 },
            }],
        },
    };
}
