/**
 * Experiment: throughput and added latency of one daemon compared with a bare relay, and its memory use with slow readers.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { type Vm, VmRole, VmState } from "../src/state/mod.js";
import { readDeployment } from "../standin/deployment.js";
import { awaitReady, findPorts, FleetProcess } from "../standin/fleet_process.js";
import { LocalFleet } from "../standin/local_fleet.js";
import type { Experiment, Report } from "./experiment.js";
import { INSTANT_BACKEND_PROGRAM } from "./instant_backend.js";
import { type LoadCall, type LoadResult, runLoad } from "./load_worker.js";
import { BARE_RELAY_PROGRAM } from "./naive/bare_relay.js";

/** Number of rounds; each measures the relay and then the daemon. */
const ROUNDS = 4;

/** Duration of one load run, in milliseconds. */
const RUN_DURATION_MS = 2_500;

/** Number of threads that send load. */
const LOAD_THREADS = 2;

/** Concurrent connections of each thread. */
const CONNECTIONS_PER_THREAD = 32;

/** Number of callers that do not read their answers. */
const SLOW_READER_COUNT = 1_000;

/** Time for which slow readers keep their connections open, in milliseconds. */
const SLOW_READ_DURATION_MS = 6_000;

/** Required throughput of the daemon as a share of the bare relay's. */
const MIN_THROUGHPUT_SHARE = 0.6;

/** Required limit of a node's resident memory at the required fleet size, in megabytes. */
const MAX_MEMORY_MB = 256;

/** Bytes in a megabyte. */
const BYTES_PER_MB = 1_048_576;

/** Deployment file that the experiment starts from. */
const DEPLOYMENT_FILE = "examples/rastro-sul.yaml";

/** Microseconds per clock tick in `/proc`. */
const US_PER_TICK = 10_000;

/** Addresses and process ids of the bare relay and the daemon. */
interface ProxyPair {
    readonly relay: string;
    readonly daemon: string;
    readonly relayPid: number;
    readonly daemonPid: number;
    readonly workspaceKey: string;
}

/** Results of one kind of call. */
interface KindResults {
    readonly kind: string;
    readonly relay: ProxyRunResult[];
    readonly daemon: ProxyRunResult[];
}

/** Result of one load run against the relay or the daemon. */
interface ProxyRunResult extends LoadResult {
    /** Processor time of the proxy process for each call, in microseconds. */
    readonly cpuUsPerCall: number;
}

/** Compares a daemon with a bare relay in alternating load runs. */
export const proxyExperiment: Experiment = {
    name: "proxy",
    summary: "throughput and added latency of one daemon compared with a bare relay",
    run: seed => withProxies(proxies => compareProxies(proxies, seed)),
};

async function withProxies(measure: (proxies: ProxyPair) => Promise<Report>): Promise<Report> {
    const example = await readDeployment(DEPLOYMENT_FILE);
    const deployment = {
        ...example,
        entryVms: example.entryVms.slice(0, 1),
        pools: example.pools.map(pool => ({ ...pool, servers: [] })),
    };
    const fleet = new LocalFleet({ deployment, operatorKey: "operator" });
    const [backendPort, relayPort] = await findPorts(2, 0);
    const backend = new FleetProcess("backend", [INSTANT_BACKEND_PROGRAM, String(backendPort)]);
    const relay = new FleetProcess("relay", [BARE_RELAY_PROGRAM, String(relayPort), String(backendPort)]);
    try {
        await fleet.start();
        await awaitReady(`http://127.0.0.1:${relayPort}/load`);
        await fleet.publishBackends(deployment.pools.map(pool => backendVm(pool.name, backendPort)));
        const [daemon] = fleet.daemons;
        const [{ key }] = deployment.workspaces;
        await awaitFirstAnswer(daemon.callerAddress, key);
        return await measure({
            relay: `127.0.0.1:${relayPort}`,
            daemon: daemon.callerAddress,
            relayPid: relay.pid ?? 0,
            daemonPid: daemon.process.pid ?? 0,
            workspaceKey: key,
        });
    }
    finally {
        await Promise.all([backend.terminate(), relay.terminate()]);
        await fleet.stop();
    }
}

async function compareProxies(proxies: ProxyPair, seed: number): Promise<Report> {
    const kindResults: KindResults[] = [];
    for (const kind of ["service", "whole", "streamed"]) {
        kindResults.push(await measureAlternately(kind, proxies));
    }
    const memory = await measureSlowReaderMemory(proxies);
    return {
        scenario: "proxy",
        seed,
        baseline: { calls: kindResults.map(result => toRow(result.kind, result.relay)) },
        current: { calls: kindResults.map(result => toRow(result.kind, result.daemon)), ...memory },
        targets: [
            ...kindResults.map(result => ({
                name: `calls a second beside the bare relay's, ${result.kind}`,
                measured: medianCallsPerSecond(result.daemon) / medianCallsPerSecond(result.relay),
                comparison: "at least" as const,
                bound: MIN_THROUGHPUT_SHARE,
            })),
            {
                name: `memory with ${SLOW_READER_COUNT} slow readers, MB`,
                measured: memory.memoryWithSlowReadersMb,
                comparison: "at most",
                bound: MAX_MEMORY_MB,
            },
        ],
    };
}

async function measureAlternately(kind: string, proxies: ProxyPair): Promise<KindResults> {
    const results: KindResults = { kind, relay: [], daemon: [] };
    const relayCall = toRelayCall(kind, proxies);
    const daemonCall = toDaemonCall(kind, proxies);
    await measureRun(relayCall, proxies.relayPid);
    await measureRun(daemonCall, proxies.daemonPid);
    for (let round = 0; round < ROUNDS; round++) {
        results.relay.push(await measureRun(relayCall, proxies.relayPid));
        results.daemon.push(await measureRun(daemonCall, proxies.daemonPid));
    }
    return results;
}

async function measureRun(call: LoadCall, pid: number): Promise<ProxyRunResult> {
    const beforeUs = await readCpuTimeUs(pid);
    const result = await runLoad({ call, connections: CONNECTIONS_PER_THREAD, durationMs: RUN_DURATION_MS }, LOAD_THREADS);
    return { ...result, cpuUsPerCall: (await readCpuTimeUs(pid) - beforeUs) / result.calls };
}

/** Reads the processor time of a process, in microseconds; see proc(5), fields 14 and 15 of `stat`. */
async function readCpuTimeUs(pid: number): Promise<number> {
    const fields = (await readFile(`/proc/${pid}/stat`, "utf8")).split(") ")[1].split(" ");
    return (Number(fields[11]) + Number(fields[12])) * US_PER_TICK;
}

function toRelayCall(kind: string, proxies: ProxyPair): LoadCall {
    const headers = { "content-type": "application/json" };
    if (kind === "service") {
        return { address: proxies.relay, method: "GET", path: "/status", headers };
    }
    return { address: proxies.relay, method: "POST", path: "/v1/generate", headers, body: chatBody(kind === "streamed") };
}

function toDaemonCall(kind: string, proxies: ProxyPair): LoadCall {
    const headers = { "content-type": "application/json", authorization: `Bearer ${proxies.workspaceKey}` };
    if (kind === "service") {
        return { address: proxies.daemon, method: "GET", path: "/v1/services/case-management/status", headers };
    }
    return {
        address: proxies.daemon,
        method: "POST",
        path: "/v1/chat/completions",
        headers: { ...headers, "foxtailrail-operation": "dossier-summary" },
        body: chatBody(kind === "streamed"),
    };
}

function chatBody(stream: boolean): string {
    return JSON.stringify({
        model: "default",
        stream,
        max_tokens: 64,
        messages: [{ role: "user", content: "Summarise the dossier." }],
    });
}

/** Opens connections that send calls without reading the answers, and measures the daemon's peak memory meanwhile. */
async function measureSlowReaderMemory(
    proxies: ProxyPair,
): Promise<{ readonly memoryAtRestMb: number; readonly memoryWithSlowReadersMb: number }> {
    const memoryAtRestMb = await readResidentMb(proxies.daemonPid);
    const call = toDaemonCall("streamed", proxies);
    const [host, port] = call.address.split(":");
    const head = Object.entries(call.headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    const body = call.body ?? "";
    const text = `POST ${call.path} HTTP/1.1\r\nhost: ${call.address}\r\n${head}content-length: ${body.length}\r\n\r\n${body}`;
    const sockets: Socket[] = [];
    for (let index = 0; index < SLOW_READER_COUNT; index++) {
        const socket = connect({ host, port: Number(port) });
        socket.on("error", () => socket.destroy());
        socket.pause();
        // Pipelined calls keep arriving on a connection whose answers are not read.
        socket.write(text.repeat(8));
        sockets.push(socket);
    }
    let memoryWithSlowReadersMb = 0;
    const endAtMs = performance.now() + SLOW_READ_DURATION_MS;
    while (performance.now() < endAtMs) {
        memoryWithSlowReadersMb = Math.max(memoryWithSlowReadersMb, await readResidentMb(proxies.daemonPid));
        await new Promise(resolve => {
            setTimeout(resolve, 100);
        });
    }
    for (const socket of sockets) {
        socket.destroy();
    }
    return { memoryAtRestMb, memoryWithSlowReadersMb };
}

async function readResidentMb(pid: number): Promise<number> {
    const [, pages = "0"] = (await readFile(`/proc/${pid}/statm`, "utf8")).split(" ");
    return Number(pages) * 4_096 / BYTES_PER_MB;
}

function toRow(kind: string, results: readonly ProxyRunResult[]): Readonly<Record<string, number | string>> {
    return {
        kind,
        callsPerSecond: Math.round(medianCallsPerSecond(results)),
        p50Ms: median(results.map(result => result.p50Ms)),
        p99Ms: median(results.map(result => result.p99Ms)),
        processorUsPerCall: Math.round(median(results.map(result => result.cpuUsPerCall))),
        failures: results.reduce((sum, result) => sum + result.failures, 0),
    };
}

function medianCallsPerSecond(results: readonly LoadResult[]): number {
    return median(results.map(result => result.calls / result.elapsedMs * 1_000));
}

function median(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)];
}

function backendVm(pool: string, port: number): Vm {
    return {
        id: `${pool}-1`,
        role: VmRole.Backend,
        address: `127.0.0.1:${port}`,
        failureDomain: "sul-a",
        state: VmState.Live,
        pool,
    };
}

async function awaitFirstAnswer(address: string, workspaceKey: string): Promise<void> {
    const giveUpAtMs = performance.now() + 10_000;
    while (performance.now() < giveUpAtMs) {
        const response = await fetch(`http://${address}/v1/services/case-management/status`, {
            headers: { authorization: `Bearer ${workspaceKey}` },
        });
        await response.arrayBuffer();
        if (response.status === 200) {
            return;
        }
        await new Promise(resolve => {
            setTimeout(resolve, 100);
        });
    }
    throw new Error(`Cannot measure ${address}: no call was answered with status 200`);
}
