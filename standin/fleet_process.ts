/**
 * Processes of a local fleet.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { createServer } from "node:net";

/** Time to wait between looks at a starting process, in milliseconds. */
const READY_POLL_INTERVAL_MS = 50;

/** Longest time to wait for a process to be ready, in milliseconds. */
const READY_TIMEOUT_MS = 100_000;

/** First port that local fleets use. */
const FIRST_PORT = 12_000;

/** Ports that local fleets use. */
const PORT_COUNT = 20_000;

/** One process that the launcher started. */
export class FleetProcess {
    private readonly child: ChildProcess;
    private readonly exited: Promise<number | undefined>;

    /**
     * @param name Name used in errors.
     * @param args Arguments of Node.
     */
    constructor(readonly name: string, args: readonly string[]) {
        this.child = spawn(process.execPath, args, { stdio: ["ignore", "ignore", "inherit"] });
        this.exited = new Promise(resolve => {
            this.child.once("exit", code => resolve(code ?? undefined));
        });
    }

    /** Process id. */
    get pid(): number | undefined {
        return this.child.pid;
    }

    /** Sends a signal without waiting for the end. */
    signal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /** Ends the process with a signal and returns its exit code. */
    async terminate(signal: NodeJS.Signals = "SIGTERM"): Promise<number | undefined> {
        this.child.kill(signal);
        return this.exited;
    }
}

/**
 * Waits until an address answers with status 200.
 *
 * @param url Address to ask.
 * @throws {Error} When it has not answered within 100 seconds.
 */
export async function awaitReady(url: string): Promise<void> {
    const giveUpAtMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < giveUpAtMs) {
        try {
            const response = await fetch(url);
            await response.arrayBuffer();
            if (response.status === 200) {
                return;
            }
        }
        catch {
            // The process does not listen yet.
        }
        await new Promise(resolve => {
            setTimeout(resolve, READY_POLL_INTERVAL_MS);
        });
    }
    throw new Error(`Cannot wait for ${url}: it has not answered within ${READY_TIMEOUT_MS} ms`);
}

/**
 * Finds ports that are free now, below the range that the operating system gives to outgoing connections.
 *
 * @param count Number of ports.
 * @param basePort First port, or 0 for any.
 * @throws {Error} When too few ports are free.
 */
export async function findPorts(count: number, basePort: number): Promise<readonly number[]> {
    if (basePort > 0) {
        return Array.from({ length: count }, (value, index) => basePort + index);
    }
    const ports: number[] = [];
    const start = FIRST_PORT + randomInt(PORT_COUNT);
    for (let step = 0; step < PORT_COUNT && ports.length < count; step++) {
        const port = FIRST_PORT + (start - FIRST_PORT + step) % PORT_COUNT;
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
