// Nodes as processes, started with the command of the deploy file.

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Bounds of the small deployments. */
export const BOUNDS = {
    ContactMs: 3_000,
    DrainTimeoutMs: 2_000,
    GraceS: 8,
    ConfigApplyMs: 2_000,
    RetryBudgetRatio: 0.2,
    BudgetWindowS: 10,
    BudgetSlack: 52,
    ExposureShare: 0.1,
    ExposureSlack: 50,
    RollbackMs: 5_000,
};

/** Time until a process that was killed is started again, in milliseconds. */
const RESTART_MS = 500;

/** Longest time in which a node has to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Returns a loopback network of this process: hosts are `${prefix}.N`. */
export function loopbackPrefix() {
    return `127.${20 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}`;
}

async function findPort(host) {
    const server = createServer();
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, resolve);
    });
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Fills in the template as the platform does; placeholders name a value, with `|json` as JSON. */
function fillIn(template, fields) {
    return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (text, path, json) => {
        let value = fields;
        for (const key of path.split(".")) {
            value = value?.[key];
        }
        return json ? JSON.stringify(value ?? null) : String(value ?? "");
    });
}

/** One node across its restarts. */
export class Node {
    startedAtMs = 0;
    isStopping = false;
    log = [];

    constructor(name, fields, directory, env = {}) {
        this.name = name;
        this.fields = fields;
        this.directory = directory;
        this.env = env;
        this.host = fields.Ip;
        this.port = Number(fields.Listen.Front.split(":")[1]);
    }

    start(isFirst) {
        const deploy = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
        const [command, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
        const template = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]), "utf8");
        const file = join(this.directory, `${this.name}.yaml`);
        writeFileSync(file, fillIn(template, { ...this.fields, Bootstrap: isFirst }));
        const { PATH, HOME, LANG } = process.env;
        this.child = spawn(command === "node" ? process.execPath : command, words, {
            cwd: ROOT,
            env: { PATH, HOME, LANG, FOXTAILRAIL_CONFIG: file, ...this.env },
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.startedAtMs = performance.now();
        this.exitCode = undefined;
        const { child } = this;
        const kill = () => child.kill("SIGKILL");
        process.once("exit", kill);
        this.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.exitCode = code ?? signal;
                this.exitedAtMs = performance.now();
                process.off("exit", kill);
                resolve();
            });
        });
        let rest = "";
        child.stdout.on("data", data => {
            rest += data;
            const lines = rest.split("\n");
            rest = lines.pop();
            this.log.push(...lines);
        });
    }

    async awaitReady() {
        const [host, port] = this.fields.Listen.Ready.split(":");
        const endMs = performance.now() + READY_TIMEOUT_MS;
        while (performance.now() < endMs) {
            const status = await new Promise(resolve => {
                get({ host, port, path: "/-/ready", agent: false }, response => {
                    response.resume();
                    resolve(response.statusCode);
                }).on("error", () => resolve(0));
            });
            if (status === 200) {
                this.readyAtMs = performance.now();
                return;
            }
            await sleep(20);
        }
        throw new Error(`node ${this.name} is not ready after ${READY_TIMEOUT_MS} ms`);
    }

    /** Kills the process and starts it again, as the platform does. */
    async killAndRestart() {
        this.child.kill("SIGKILL");
        await this.exited;
        await sleep(RESTART_MS);
        this.start(false);
        await this.awaitReady();
    }

    async end() {
        if (this.exitCode === undefined) {
            this.child.kill("SIGKILL");
            await this.exited;
        }
    }
}

/** Starts nodes in one zone each. */
export class Fleet {
    nodes = [];

    constructor(store, prefix, settings = {}) {
        this.store = store;
        this.prefix = prefix;
        this.settings = settings;
        this.directory = mkdtempSync(join(tmpdir(), "foxtailrail-review-"));
    }

    async start(count) {
        for (let index = 1; index <= count; index += 1) {
            const host = `${this.prefix}.${10 + index}`;
            const ports = await Promise.all([findPort(host), findPort(host), findPort(host)]);
            const name = `front-${index}`;
            this.nodes.push(
                new Node(name, {
                    NodeName: name,
                    Zone: `zone-${index}`,
                    Zones: Object.fromEntries(Array.from({ length: count }, (unused, zone) => [`zone-${zone + 1}`, "region"])),
                    Region: "region",
                    Ip: host,
                    InternalPorts: [ports[2], ports[2] + 15],
                    Listen: { Front: `${host}:${ports[0]}`, Ready: `${host}:${ports[1]}` },
                    Limits: { Cores: 1, CpuShare: 0.675, MemoryMb: 350 },
                    Bounds: { ...BOUNDS, ...this.settings.bounds },
                    Platform: { Address: this.store.address },
                    Contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "rollout", "platform"],
                }, this.directory, this.settings.env),
            );
        }
        for (const node of this.nodes) {
            node.start(true);
        }
        await Promise.all(this.nodes.map(node => node.awaitReady()));
    }

    async end() {
        await Promise.all(this.nodes.map(node => node.end()));
        rmSync(this.directory, { recursive: true, force: true });
    }
}
