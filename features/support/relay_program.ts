/**
 * The relay node program as a process, with stand-ins for the platform's store and a server.
 *
 * @module
 */

import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { mkdtemp, open, rename, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StoreServer } from "../../platform/standin/store_server.js";
import { awaitReady, findPorts, withMaxDescriptors } from "../../standin/fleet_process.js";
import { type ConfiguredLimits, makeConfiguration } from "./relay_fixture.js";

/** Calls that a server takes at once. */
const DEFAULT_SLOTS = 16;

/** Key of the callers. */
const API_KEY = "key-1";

/** Code in the program that holds up its event loop as a line on its standard input says: for how long, how often and with what pauses. */
const HOLD_UP_CODE = `
process.stdin.on("data", line => {
    const [durationMs, times, pauseMs] = String(line).split(" ").map(Number);
    const hold = left => {
        const endMs = performance.now() + durationMs;
        while (performance.now() < endMs);
        if (left > 1) {
            setTimeout(hold, pauseMs, left - 1).unref();
        }
    };
    hold(times);
}).unref();
`;

/** Server that registers in the store. */
export interface RegisteredServer {
    readonly id: string;
    /** Returns its entry. */
    serverEntry(service: string, changes: Readonly<Record<string, unknown>>): unknown;
}

/** Machine of the program; unset fields are not limited. */
export interface ProgramMachine {
    /** Memory that the settings state, in megabytes. */
    readonly megabytes?: number;
    /** File descriptors that the process may have open. */
    readonly descriptors?: number;
}

/** Runs the program until {@linkcode stop}. */
export class RelayProgram {
    /** Stand-in for the platform's store. */
    readonly store = new StoreServer();
    private directory = "";
    private settings = "";
    private child: ChildProcess | undefined;
    private exited: Promise<number | null> = Promise.resolve(null); // eslint-disable-line no-restricted-syntax -- Node's exit code after a signal
    private callerPort = 0;
    private readinessPort = 0;
    private peerPort = 0;

    /**
     * @param flags Flags of Node.js with which the program is started.
     * @param machine Machine of the program.
     */
    constructor(private readonly flags: readonly string[] = [], private readonly machine: ProgramMachine = {}) {}

    /**
     * Starts the store and writes the settings, but does not start the program.
     *
     * @param engines Servers of the program.
     * @param entry Fields of their entries that replace the defaults.
     * @param limits Fields of the configuration that replace the defaults.
     */
    async prepare(
        engines: readonly RegisteredServer[],
        entry: Readonly<Record<string, unknown>> = {},
        limits: ConfiguredLimits = {},
    ): Promise<void> {
        await this.store.start();
        for (const engine of engines) {
            this.store.put("keyed.servers", engine.id, engine.serverEntry("service", { Slots: DEFAULT_SLOTS, ...entry }));
        }
        this.configure(1, limits);
        const [callers = 0, readiness = 0, peers = 0] = await findPorts(3, 0);
        this.callerPort = callers;
        this.readinessPort = readiness;
        this.peerPort = peers;
        this.directory = await mkdtemp(join(tmpdir(), "relay-program-"));
        this.settings = `
node: entry-1
failureDomain: zone-a
listen: { callers: "127.0.0.1:${callers}", readiness: "127.0.0.1:${readiness}", peers: "127.0.0.1:${peers}" }
log: ${this.store.address}
isFirstStart: true
drain: { graceSeconds: 3, balancerLagMs: 50 }
configuration: { applyMs: 2000 }
servers: { leaveMs: 2000 }
retries: { fraction: 0.2, windowSeconds: 10, slackCalls: 600 }
rollouts: { maxShare: 0.1, slackCalls: 50, rollbackMs: 5000 }
${this.machine.megabytes === undefined ? "" : `memory: { megabytes: ${this.machine.megabytes} }`}
`;
    }

    /**
     * Writes a version of the configuration.
     *
     * @param version Number of the version.
     * @param limits Fields that replace the defaults.
     */
    configure(version: number, limits: ConfiguredLimits): void {
        this.store.put("keyed.op", "config", makeConfiguration(version, [API_KEY], undefined, limits));
    }

    /** Starts the program and waits until it is ready. */
    async start(): Promise<void> {
        await this.startUnready();
        await this.awaitReady();
    }

    /** Starts the program and does not wait for it. */
    async startUnready(): Promise<void> {
        await writeFile(this.settingsFile, this.settings);
        this.spawn();
    }

    /**
     * Starts the program with settings that it waits for.
     *
     * @returns Function that lets the program read its settings.
     */
    async startWaitingForSettings(): Promise<() => Promise<void>> {
        spawnSync("mkfifo", [this.settingsFile]);
        this.spawn();
        // Opening a pipe waits for its reader.
        const pipe = await open(this.settingsFile, "w");
        const laterFile = join(this.directory, "later.yaml");
        await writeFile(laterFile, this.settings);
        await rename(laterFile, this.settingsFile);
        return async () => {
            await pipe.writeFile(this.settings).catch(() => undefined);
            await pipe.close();
        };
    }

    /** Address on which the program listens for callers. */
    get callerAddress(): string {
        return `127.0.0.1:${this.callerPort}`;
    }

    /** Address on which the program listens for calls of other nodes. */
    get peerAddress(): string {
        return `127.0.0.1:${this.peerPort}`;
    }

    /** Address of the readiness check. */
    get readinessAddress(): string {
        return `127.0.0.1:${this.readinessPort}`;
    }

    /** Returns the number of descriptors that the program has open. */
    countDescriptors(): number {
        return readdirSync(`/proc/${this.child?.pid}/fd`).length;
    }

    /** Returns the most memory that the program has used, in bytes; `undefined` if it has ended. */
    readPeakMemory(): number | undefined {
        const { child } = this;
        // Node gives `null` for a program that runs.
        if (child?.exitCode !== null || child.signalCode !== null) { // eslint-disable-line no-restricted-syntax
            return undefined;
        }
        const kibibytes = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"))?.[1];
        return Number(kibibytes) * 1_024;
    }

    /** Sends a signal to the program. */
    signal(name: NodeJS.Signals): void {
        this.child?.kill(name);
    }

    /**
     * Holds up the event loop of the program.
     *
     * @param durationMs Duration of each hold-up, in milliseconds.
     * @param times Number of hold-ups.
     * @param pauseMs Time between two of them, in milliseconds.
     */
    holdUp(durationMs: number, times = 1, pauseMs = 0): void {
        this.child?.stdin?.write(`${durationMs} ${times} ${pauseMs}`);
    }

    /** Waits until the program reports that it is ready. */
    awaitReady(): Promise<void> {
        return awaitReady(`http://127.0.0.1:${this.readinessPort}/-/ready`);
    }

    /** Waits for the end of the program and returns its exit code; Node gives `null` after a signal. */
    awaitExit(): Promise<number | null> {
        return this.exited;
    }

    /** Ends the program and the store. */
    async stop(): Promise<void> {
        this.child?.kill("SIGKILL");
        await this.exited;
        this.store.close();
        await rm(this.directory, { recursive: true });
    }

    private get settingsFile(): string {
        return join(this.directory, "settings.yaml");
    }

    private spawn(): void {
        const preload = `data:text/javascript,${encodeURIComponent(HOLD_UP_CODE)}`;
        const program = [process.execPath, ...this.flags, "--import", preload, "dist/entry.cjs"];
        const [file = process.execPath, ...rest] = withMaxDescriptors(program, this.machine.descriptors);
        const child = spawn(file, rest, {
            env: { ...process.env, FOXTAILRAIL_CONFIG: this.settingsFile },
            stdio: ["pipe", "ignore", "ignore"],
        });
        this.child = child;
        this.exited = new Promise(resolve => child.once("exit", resolve));
    }
}
