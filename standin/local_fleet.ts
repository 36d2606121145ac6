/**
 * Local fleet of separate processes on the loopback interface.
 *
 * @module
 */

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "yaml";
import { CONFIGURATION_STREAM } from "../src/protocol/mod.js";
import { type Vm, VmRole, VmState } from "../src/state/mod.js";
import { HttpClient, HttpLogService } from "../src/transport/mod.js";
import { type Deployment, hashKey, toDocument, toInitialRecord } from "./deployment.js";
import { awaitReady, findPorts, FleetProcess } from "./fleet_process.js";

/** Program of a stand-in process. */
const STAND_IN_PROGRAM = fileURLToPath(new URL("./main.js", import.meta.url));

/** Program of a daemon. */
const DAEMON_PROGRAM = fileURLToPath(new URL("../src/daemon/main.js", import.meta.url));

/** Node.js options of a daemon; must match the shebang line of its program. */
const DAEMON_NODE_OPTIONS = ["--max-old-space-size=160"];

/** Kinds of platform stand-ins, in the order of their addresses. */
const PLATFORM_KINDS = ["log", "vm-list", "weight-store"] as const;

/** Load balancer lag that daemons assume when they drain, in milliseconds. */
const BALANCER_LAG_MS = 200;

/** Name of the operator that the daemons are configured with. */
export const OPERATOR_NAME = "local-operator";

/** Settings of a {@linkcode LocalFleet}. */
export interface LocalFleetSettings {
    readonly deployment: Deployment;
    /** First port of a consecutive range, or 0 for any free ports. Defaults to 0. */
    readonly basePort?: number;
    /** Key of the operator. */
    readonly operatorKey: string;
    /** Settings of the daemons that replace or extend the fleet's. Defaults to none. */
    readonly daemonSettings?: Readonly<Record<string, unknown>>;
    /** Heap of each daemon, in megabytes. Defaults to that of its program. */
    readonly daemonHeapMegabytes?: number;
    /** File descriptors that each daemon may have open. Defaults to those of this process. */
    readonly daemonDescriptors?: number;
    /** Returns the log address for daemons of a failure domain, such as a forwarder's. Defaults to the log's own address. */
    readonly logAddressFor?: (failureDomain: string, logAddress: string) => string;
}

/** Backend server of the fleet. */
export interface FleetBackend {
    readonly vm: Vm;
    readonly process: FleetProcess;
}

/** Daemon of the fleet and its listen addresses. */
export interface FleetDaemon {
    readonly node: string;
    /** Listen address for callers. */
    readonly callerAddress: string;
    /** Listen address for peers and operators. */
    readonly peerAddress: string;
    readonly failureDomain: string;
    readonly settingsFile: string;
    process: FleetProcess;
}

/** Fleet whose platform stand-ins, backend servers and daemons run as separate processes. */
export class LocalFleet {
    readonly backends: FleetBackend[] = [];
    readonly daemons: FleetDaemon[] = [];
    private readonly platform: FleetProcess[] = [];
    private ports: number[] = [];
    private platformAddresses: readonly string[] = [];
    private readonly entryVms: Vm[] = [];
    private folder = "";

    /** @param settings See {@linkcode LocalFleetSettings}. */
    constructor(private readonly settings: LocalFleetSettings) {}

    /** Path of the file that holds the operator key. */
    get keyFile(): string {
        return join(this.folder, "operator.key");
    }

    /** Address of the log service. */
    get logAddress(): string {
        return this.platformAddresses[0];
    }

    /** Starts all processes and waits until every daemon is ready. */
    async start(): Promise<void> {
        const { deployment, basePort = 0, operatorKey } = this.settings;
        const backendCount = deployment.pools.reduce((sum, pool) => sum + pool.servers.length, 0);
        this.ports = [...await findPorts(2 * deployment.entryVms.length + PLATFORM_KINDS.length + backendCount, basePort)];
        this.folder = await mkdtemp(join(tmpdir(), "foxtailrail-"));
        await writeFile(this.keyFile, `${operatorKey}\n`);
        const daemonPorts = this.ports.splice(0, 2 * deployment.entryVms.length);
        await this.startPlatform();
        await this.startBackends();
        await this.publishVmList(daemonPorts);
        await this.publishConfiguration();
        await this.startDaemons(daemonPorts);
    }

    /** Restarts a daemon whose process has exited and waits until it is ready. */
    async restart(daemon: FleetDaemon): Promise<void> {
        daemon.process = this.spawnDaemon(daemon.node, daemon.settingsFile);
        await awaitReady(`http://${daemon.callerAddress}/readyz`);
    }

    /** Drains the daemons, then terminates all other processes and removes the fleet's files. */
    async stop(): Promise<void> {
        await Promise.all(this.daemons.map(daemon => daemon.process.terminate()));
        await Promise.all([...this.backends.map(backend => backend.process), ...this.platform].map(each => each.terminate()));
        await rm(this.folder, { recursive: true, force: true });
    }

    private async startPlatform(): Promise<void> {
        const addresses: string[] = [];
        for (const kind of PLATFORM_KINDS) {
            const address = this.allocateAddress();
            addresses.push(address);
            this.platform.push(spawnStandIn(kind, address, []));
        }
        this.platformAddresses = addresses;
        await awaitReady(`http://${addresses[1]}/vms`);
        await awaitReady(`http://${addresses[0]}/streams/${CONFIGURATION_STREAM}/records?from=0&max=1&waitMs=0`);
    }

    private async startBackends(): Promise<void> {
        const { pools, failureDomains } = this.settings.deployment;
        for (const pool of pools) {
            for (const [index, server] of pool.servers.entries()) {
                const address = this.allocateAddress();
                const id = `${pool.name}-${index + 1}`;
                const kind = pool.kind === "model" ? "engine" : "service";
                this.backends.push({
                    vm: {
                        id,
                        role: VmRole.Backend,
                        address,
                        failureDomain: failureDomains[index % failureDomains.length],
                        state: VmState.Live,
                        pool: pool.name,
                    },
                    process: spawnStandIn(kind, address, ["--profile", server.profile]),
                });
            }
        }
        await Promise.all(this.backends.map(backend => awaitReady(`http://${backend.vm.address}/load`)));
    }

    /**
     * Publishes a VM list with the given backend servers.
     *
     * @param backends Backend servers; the entry VMs are added unchanged.
     */
    async publishBackends(backends: readonly Vm[]): Promise<void> {
        const body = JSON.stringify([...backends, ...this.entryVms]);
        await fetch(`http://${this.platformAddresses[1]}/vms`, { method: "PUT", body });
    }

    private async publishVmList(daemonPorts: readonly number[]): Promise<void> {
        for (const [index, { failureDomain }] of this.settings.deployment.entryVms.entries()) {
            this.entryVms.push({
                id: `entry-${index + 1}`,
                role: VmRole.Entry,
                address: `127.0.0.1:${daemonPorts[2 * index + 1]}`,
                failureDomain,
                state: VmState.Live,
            });
        }
        await this.publishBackends(this.backends.map(backend => backend.vm));
    }

    private async publishConfiguration(): Promise<void> {
        const client = new HttpClient();
        const log = new HttpLogService(client, this.logAddress);
        const document = toDocument(this.settings.deployment);
        await log.append(CONFIGURATION_STREAM, toInitialRecord(document));
        await client.close();
    }

    private async startDaemons(daemonPorts: readonly number[]): Promise<void> {
        for (const [index, { failureDomain }] of this.settings.deployment.entryVms.entries()) {
            const node = `entry-${index + 1}`;
            const callerAddress = `127.0.0.1:${daemonPorts[2 * index]}`;
            const peerAddress = `127.0.0.1:${daemonPorts[2 * index + 1]}`;
            const settingsFile = join(this.folder, `${node}.yaml`);
            await writeFile(
                settingsFile,
                this.daemonSettings({ node, callerAddress, peerAddress, failureDomain }),
            );
            this.daemons.push({
                node,
                callerAddress,
                peerAddress,
                failureDomain,
                settingsFile,
                process: this.spawnDaemon(node, settingsFile),
            });
        }
        await Promise.all(this.daemons.map(daemon => awaitReady(`http://${daemon.callerAddress}/readyz`)));
    }

    private daemonSettings(daemon: Pick<FleetDaemon, "node" | "callerAddress" | "peerAddress" | "failureDomain">): string {
        const [logAddress, vmList, weightStore] = this.platformAddresses;
        const log = this.settings.logAddressFor?.(daemon.failureDomain, logAddress) ?? logAddress;
        return stringify({
            node: daemon.node,
            failureDomain: daemon.failureDomain,
            listen: { callers: daemon.callerAddress, peers: daemon.peerAddress },
            tls: { plainText: true },
            platform: { log, vmList, weightStore },
            operators: [{ name: OPERATOR_NAME, keyHash: hashKey(this.settings.operatorKey) }],
            drain: { balancerLagMs: BALANCER_LAG_MS },
            logLevel: "warn",
            ...this.settings.daemonSettings,
        });
    }

    private spawnDaemon(node: string, settingsFile: string): FleetProcess {
        const { daemonHeapMegabytes, daemonDescriptors } = this.settings;
        const options = daemonHeapMegabytes === undefined ? DAEMON_NODE_OPTIONS : [`--max-old-space-size=${daemonHeapMegabytes}`];
        return new FleetProcess(node, [...options, DAEMON_PROGRAM, "--settings", settingsFile], daemonDescriptors);
    }

    private allocateAddress(): string {
        return `127.0.0.1:${this.ports.shift()}`;
    }
}

function spawnStandIn(kind: string, address: string, extraArgs: readonly string[]): FleetProcess {
    return new FleetProcess(`${kind} ${address}`, [
        STAND_IN_PROGRAM,
        "--kind",
        kind,
        "--port",
        address.split(":")[1],
        ...extraArgs,
    ]);
}
