/**
 * Nodes of the system as processes, started as the deploy file says.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** Time from SIGTERM until the platform sends SIGKILL, in seconds. */
const GRACE_S = 8;

/** Program and arguments of the role, from the deploy file. */
function readRun() {
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const run = /^run = "(.*)"$/m.exec(deploy)?.[1];
    if (run === undefined) {
        throw new Error("The deploy file has no line `run`.");
    }
    return run.split(" ");
}

/** Range of the ports of nodes, below the one from which the operating system takes ports of outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 20_000;

let nextPort = Math.floor(Math.random() * PORT_COUNT);

/** Finds free ports of loopback; none is returned twice. */
export async function findPorts(count) {
    const ports = [];
    for (let tries = 0; ports.length < count && tries < PORT_COUNT; tries += 1) {
        nextPort = (nextPort + 1) % PORT_COUNT;
        if (await isFree(FIRST_PORT + nextPort)) {
            ports.push(FIRST_PORT + nextPort);
        }
    }
    return ports;
}

function isFree(port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** One process; the platform starts it again when it ends by itself, unless told otherwise. */
export class NodeProcess {
    /** Ends of the process, as `{ atMs, code, signal }`. */
    ends = [];
    #child;
    #exited = Promise.resolve();
    #isWanted = false;
    #isFirst = true;

    /**
     * @param {{ name: string, zone: string, folder: string, store: string, ports: readonly number[], isBootstrap?: boolean }} settings
     * Name, zone, folder for the settings file, address of the store, and ports for callers, readiness, peers and metrics.
     */
    constructor(settings) {
        this.settings = settings;
        this.callerPort = settings.ports[0];
    }

    get pid() {
        return this.#child?.pid;
    }

    start() {
        const { name, zone, folder, store, ports, isBootstrap = true } = this.settings;
        const [callers, readiness, peers, metrics] = ports;
        const file = join(folder, `${name}.yaml`);
        // platform/settings.yaml, filled in with the figures of a small deployment.
        const text = `node: "${name}"
failureDomain: "${zone}"
listen:
    callers: "127.0.0.1:${callers}"
    readiness: "127.0.0.1:${readiness}"
    peers: "127.0.0.1:${peers}"
    metrics: "127.0.0.1:${metrics}"
processor:
    cores: 1
    share: 0.675
log: "${store}"
isFirstStart: ${isBootstrap && this.#isFirst}
drain:
    graceSeconds: ${GRACE_S}
configuration:
    applyMs: 2000
servers:
    leaveMs: 2000
retries:
    fraction: 0.2
    windowSeconds: 10
    slackCalls: 58
rollouts:
    maxShare: 0.1
    slackCalls: 50
    rollbackMs: 5000
`;
        writeFileSync(file, text);
        this.#isFirst = false;
        this.#isWanted = true;
        const [program, ...args] = readRun();
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: ROOT,
            env: { FOXTAILRAIL_CONFIG: file, PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#child = child;
        this.log ??= [];
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", data => this.log.push(String(data)));
        }
        this.#exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.ends.push({ atMs: performance.now(), code, signal });
                resolve();
                if (this.#isWanted) {
                    setTimeout(() => this.#isWanted && this.start(), 300);
                }
            });
        });
    }

    /** Waits until the node says that it is ready. */
    async awaitReady(limitMs = 20_000) {
        const endMs = performance.now() + limitMs;
        while (performance.now() < endMs) {
            const response = await fetch(`http://127.0.0.1:${this.settings.ports[1]}/-/ready`).catch(() => undefined);
            await response?.arrayBuffer().catch(() => undefined);
            if (response?.status === 200) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 30));
        }
        throw new Error(`Node ${this.settings.name} is not ready after ${limitMs} ms.`);
    }

    signal(name) {
        this.#child?.kill(name);
    }

    /** Stops the process as the platform does: SIGTERM, and SIGKILL at the end of the grace. */
    async remove() {
        this.#isWanted = false;
        this.#child?.kill("SIGTERM");
        const timer = setTimeout(() => this.#child?.kill("SIGKILL"), GRACE_S * 1_000);
        await this.#exited;
        clearTimeout(timer);
    }

    /** Ends the process at once and does not start it again. */
    async kill() {
        this.#isWanted = false;
        this.#child?.kill("SIGKILL");
        await this.#exited;
    }
}
