/**
 * Fleet of entry VMs, simulated backend servers and simulated platform in one process, driven by a virtual clock.
 *
 * @module
 */

import { CallObserver, GossipDissemination, type KeyRules, Membership } from "../src/coordination/mod.js";
import { ClaimService, EntryNode, type EntryNodeSettings, PeerService } from "../src/daemon/mod.js";
import { type AnswerHead, AnswerWriter, CONFIGURATION_STREAM, type IncomingCall, type Webhook } from "../src/protocol/mod.js";
import { type Clock, type ConfigurationDocument, HybridClock, SeededRandom, type Vm, VmRole, VmState } from "../src/state/mod.js";
import { type Deployment, toDocument, toInitialRecord } from "./deployment.js";
import { ENGINE_PROFILES, EngineModel } from "./engine_model.js";
import { LocalEngines, LocalServices } from "./local_backends.js";
import { ConfigurationHub } from "./local_configuration_client.js";
import { DisseminationHub } from "./local_dissemination.js";
import { LocalPeerNetwork } from "./local_peers.js";
import { LogModel, type LogModelSettings } from "./log_model.js";
import { ClaimHub, LinkedClaimClient, LinkedLog, LinkedService, NodeLink } from "./node_link.js";
import { NodeLog } from "./node_log.js";
import { EffectLedger, ServiceModel } from "./service_model.js";
import { SkewedClock } from "./skewed_clock.js";
import { VirtualClock } from "./virtual_clock.js";
import { VmListModel } from "./vm_list_model.js";

/** Propagation delay of the VM list, in milliseconds. */
const VM_LIST_LAG_MS = 1_000;

/** Time in which a started node reads its configuration and its VM list, in milliseconds. */
const WARM_UP_MS = 3_000;

/** Offset that separates the random seeds of memberships from those of nodes. */
const MEMBERSHIP_SEED_OFFSET = 500;

/** Settings of an {@linkcode InProcessFleet}. */
export interface InProcessFleetSettings {
    readonly deployment: Deployment;
    /** Base of all random seeds. Defaults to 1. */
    readonly seed?: number;
    /** Settings of the log service. */
    readonly log?: LogModelSettings;
    /** Clock skew of each node, in milliseconds, positive when ahead, in the order of the nodes. Defaults to 0. */
    readonly clockSkewsMs?: readonly number[];
    /** Rules for which idempotency keys are accepted. */
    readonly keyRules?: KeyRules;
    /** Node settings that override the defaults. */
    readonly node?: Pick<Partial<EntryNodeSettings>, "observer" | "makeScheduler">;
    /** Webhook that receives rollout events. Defaults to none. */
    readonly webhook?: Webhook;
}

/** Fleet in one process. Nodes run the production code; engines, services, platform and networks are simulated. */
export class InProcessFleet {
    readonly clock = new VirtualClock();
    readonly engines = new Map<string, EngineModel>();
    readonly services = new Map<string, ServiceModel>();
    readonly ledger = new EffectLedger();
    readonly disseminationHub = new DisseminationHub(this.clock);
    readonly peerNetwork = new LocalPeerNetwork(this.clock);
    readonly log: LogModel;
    /** Log connections with fault injection, by node id. */
    readonly nodeLogs = new Map<string, NodeLog>();
    readonly configurationHub = new ConfigurationHub(this.clock);
    readonly vmList = new VmListModel(this.clock, VM_LIST_LAG_MS);
    readonly nodes: EntryNode[] = [];
    /** Links of the nodes, in the order of the nodes. */
    readonly links: NodeLink[] = [];
    readonly claimHub = new ClaimHub(this.clock);
    readonly document: ConfigurationDocument;
    private readonly vms: Vm[] = [];
    private callCount = 0;

    /** @param settings See {@linkcode InProcessFleetSettings}. */
    constructor(private readonly settings: InProcessFleetSettings) {
        this.log = new LogModel(this.clock, settings.log);
        this.document = toDocument(settings.deployment);
        this.makeBackends();
        this.makeNodes();
    }

    /** Publishes the configuration and the VM list, starts the nodes and waits until they have read both. */
    async start(): Promise<void> {
        this.publishVmList();
        await this.clock.runUntil(this.log.append(CONFIGURATION_STREAM, toInitialRecord(this.document)));
        for (const node of this.nodes) {
            node.start();
        }
        await this.clock.advance(WARM_UP_MS);
    }

    /** Publishes a new state of one VM. */
    setVmState(id: string, state: VmState): void {
        const index = this.vms.findIndex(vm => vm.id === id);
        this.vms[index] = { ...this.vms[index], state };
        this.publishVmList();
    }

    /** Removes a VM from the VM list. */
    removeVm(id: string): void {
        const index = this.vms.findIndex(vm => vm.id === id);
        this.vms.splice(index, 1);
        this.publishVmList();
    }

    /**
     * Sends one call to a node.
     *
     * @returns The recorded answer, which grows as the clock advances.
     */
    send(node: EntryNode, call: Partial<IncomingCall>): RecordedAnswer {
        this.callCount += 1;
        const abortController = new AbortController();
        const incoming: IncomingCall = {
            id: `${node.settings.node}-${this.callCount}`,
            method: "POST",
            path: "/v1/chat/completions",
            query: "",
            bearerKey: this.settings.deployment.workspaces[0].key,
            idempotencyKey: undefined,
            operationName: undefined,
            contentType: "application/json",
            body: Buffer.alloc(0),
            abortController,
            ...call,
        };
        const writer = new RecordingWriter();
        const done = node.handler.handle(incoming, writer);
        return { id: incoming.id, writer, abortController, done };
    }

    /**
     * Adds an entry VM without starting it.
     *
     * @returns The node; {@linkcode nodeLogs} holds its log connection.
     */
    addNode(failureDomain: string): EntryNode {
        const index = this.nodes.length;
        const id = `entry-${index + 1}`;
        const address = `127.0.0.1:${this.vms.length + 1}`;
        const vm: Vm = { id, role: VmRole.Entry, address, failureDomain, state: VmState.Live };
        this.vms.push(vm);
        const node = this.makeNode(index, vm);
        this.nodes.push(node);
        return node;
    }

    /** Replaces a node with one that has no state, as when its VM is replaced. */
    async replaceNode(index: number): Promise<void> {
        const vm = this.vms.find(each => each.id === this.nodes[index].settings.node) as Vm;
        await this.clock.runUntil(this.nodes[index].stop());
        this.nodes[index] = this.makeNode(index, vm);
        this.nodes[index].start();
        await this.clock.advance(WARM_UP_MS);
    }

    private makeNode(index: number, vm: Vm): EntryNode {
        const { id, address, failureDomain } = vm;
        const { seed = 1, webhook } = this.settings;
        const nodeLog = new NodeLog(this.log, this.clock);
        const link = new NodeLink(address);
        const clock = new SkewedClock(this.clock, this.settings.clockSkewsMs?.[index] ?? 0);
        const node = new EntryNode({
            node: id,
            failureDomain,
            clock,
            random: new SeededRandom(seed * 1_000 + index),
            engine: new LocalEngines(this.engines),
            plainService: new LinkedService(link, new LocalServices(this.services)),
            log: new LinkedLog(link, nodeLog, this.clock),
            vmList: this.vmList,
            membership: this.makeMembership(vm, clock),
            dissemination: this.disseminationHub.join(id),
            configurationClient: this.configurationHub.join(address),
            observer: new NoopCallObserver(),
            claimClient: new LinkedClaimClient(link, this.claimHub, this.clock),
            keyRules: this.settings.keyRules,
            webhook,
            ...this.settings.node,
        });
        this.links[index] = link;
        this.claimHub.join(link, new ClaimService(node));
        this.nodeLogs.set(id, nodeLog);
        this.configurationHub.handlers.set(address, request => node.configurationFollower.replyToPeer(request));
        return node;
    }

    /** VMs that run a node. */
    get entryVms(): readonly Vm[] {
        return this.vms.filter(vm => vm.role === VmRole.Entry);
    }

    /** Publishes the fleet's current VMs to the VM list. */
    publishVmList(): void {
        this.vmList.set([...this.vms]);
    }

    private makeBackends(): void {
        const { pools, failureDomains } = this.settings.deployment;
        for (const pool of pools) {
            for (const [index, server] of pool.servers.entries()) {
                const id = `${pool.name}-${index + 1}`;
                const failureDomain = failureDomains[index % failureDomains.length];
                const address = `127.0.0.1:${this.vms.length + 1}`;
                this.vms.push({ id, role: VmRole.Backend, address, failureDomain, state: VmState.Live, pool: pool.name });
                if (pool.kind === "model") {
                    this.engines.set(id, new EngineModel(this.clock, ENGINE_PROFILES[server.profile]));
                }
                else {
                    this.services.set(id, new ServiceModel(this.clock, this.ledger));
                }
            }
        }
    }

    private makeMembership({ id: node, address, failureDomain }: Vm, clock: Clock): Membership {
        const random = new SeededRandom((this.settings.seed ?? 1) * 1_000 + MEMBERSHIP_SEED_OFFSET + this.nodes.length);
        const client = this.peerNetwork.connect(address);
        const membership = new Membership({
            node,
            address,
            failureDomain,
            clock,
            random,
            client,
            hybridClock: new HybridClock(clock),
        });
        // Shared values go through the hub; this dissemination only carries membership updates.
        const dissemination = new GossipDissemination({ clock, random, membership });
        this.peerNetwork.serve(address, new PeerService({ membership, dissemination, configurationVersion: () => -1 }));
        return membership;
    }

    private makeNodes(): void {
        for (const { failureDomain } of this.settings.deployment.entryVms) {
            this.addNode(failureDomain);
        }
    }
}

/** Answer as observed by the caller. */
export interface RecordedAnswer {
    readonly id: string;
    readonly writer: RecordingWriter;
    /** Aborting it simulates a disconnect of the caller. */
    readonly abortController: AbortController;
    /** Resolves when the call has been handled. */
    readonly done: Promise<void>;
}

/** Answer writer that records everything written to it. */
export class RecordingWriter extends AnswerWriter {
    head: AnswerHead | undefined;
    /** Whether the answer was completed. */
    ended = false;
    /** Whether the answer was aborted. */
    aborted = false;
    private readonly chunks: Uint8Array[] = [];

    override get started(): boolean {
        return this.head !== undefined;
    }

    /** Body written so far. */
    get text(): string {
        return Buffer.concat(this.chunks).toString("utf8");
    }

    override writeHead(head: AnswerHead): void {
        this.head = head;
    }

    override async write(chunk: Uint8Array): Promise<void> {
        this.chunks.push(chunk);
    }

    override end(): void {
        this.ended = true;
    }

    override abort(): void {
        this.aborted = true;
    }
}

/** Call observer that discards all events. */
class NoopCallObserver extends CallObserver {
    override recordAccepted(): void {
        // Calls are not recorded.
    }

    override recordAnswered(): void {
        // Calls are not recorded.
    }

    override recordRefused(): void {
        // Calls are not recorded.
    }
}
