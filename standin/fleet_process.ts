/**
 * Child processes of a local fleet, and the ports that they listen on.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { createServer } from "node:net";

/** Interval at which a starting process is polled for readiness, in milliseconds. */
const READY_POLL_INTERVAL_MS = 50;

/** Maximum time to wait until a process is ready, in milliseconds. */
const READY_TIMEOUT_MS = 100_000;

/** Lowest port of the range that local fleets use. */
const FIRST_PORT = 12_000;

/** Number of ports in the range that local fleets use. */
const PORT_COUNT = 20_000;

/** Child process that runs a Node.js program. */
export class FleetProcess {
    private readonly child: ChildProcess;
    private readonly exited: Promise<number | undefined>;

    /**
     * @param name Name of the process.
     * @param args Command-line arguments for Node.js.
     * @param maxDescriptors File descriptors that the process may have open. Defaults to those of this process.
     */
    constructor(readonly name: string, args: readonly string[], maxDescriptors?: number) {
        const [file = process.execPath, ...rest] = withMaxDescriptors([process.execPath, ...args], maxDescriptors);
        this.child = spawn(file, rest, { stdio: ["ignore", "ignore", "inherit"] });
        this.exited = new Promise(resolve => {
            this.child.once("exit", code => resolve(code ?? undefined));
        });
    }

    /** Process id. */
    get pid(): number | undefined {
        return this.child.pid;
    }

    /** Sends a signal without waiting for the process to exit. */
    signal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /** Sends a signal, waits for the process to exit and returns its exit code. */
    async terminate(signal: NodeJS.Signals = "SIGTERM"): Promise<number | undefined> {
        this.child.kill(signal);
        return this.exited;
    }
}

/**
 * Returns a command that runs a program with fewer descriptors.
 *
 * @param program Program and its arguments.
 * @param maxDescriptors File descriptors that the process may have open; `undefined` for those of this process.
 */
export function withMaxDescriptors(program: readonly string[], maxDescriptors: number | undefined): readonly string[] {
    return maxDescriptors === undefined ? program : ["sh", "-c", `ulimit -n ${maxDescriptors} && exec "$0" "$@"`, ...program];
}

/**
 * Polls a URL until it answers with status 200.
 *
 * @param url URL to poll.
 * @throws {Error} When it has not answered within 100 seconds.
 */
export async function awaitReady(url: string): Promise<void> {
    const deadlineMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < deadlineMs) {
        try {
            const response = await fetch(url);
            await response.arrayBuffer();
            if (response.status === 200) {
                return;
            }
        }
        catch {
            // The process is not listening yet.
        }
        await new Promise(resolve => {
            setTimeout(resolve, READY_POLL_INTERVAL_MS);
        });
    }
    throw new Error(`Cannot wait for ${url}: it has not answered within ${READY_TIMEOUT_MS} ms`);
}

/**
 * Finds ports that are currently free, below the ephemeral range that the operating system assigns to outgoing connections.
 *
 * @param count Number of ports.
 * @param basePort First port of a consecutive range, which is not checked, or 0 for any free ports.
 * @throws {Error} When too few ports are free.
 */
export async function findPorts(count: number, basePort: number): Promise<readonly number[]> {
    if (basePort > 0) {
        return Array.from({ length: count }, (value, index) => basePort + index);
    }
    const ports: number[] = [];
    const start = FIRST_PORT + randomInt(PORT_COUNT);
    for (let index = 0; index < PORT_COUNT && ports.length < count; index++) {
        const port = FIRST_PORT + (start - FIRST_PORT + index) % PORT_COUNT;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    if (ports.length < count) {
        throw new Error(`Cannot find ${count} ports: only ${ports.length} from ${FIRST_PORT} on are free`);
    }
    return ports;
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
