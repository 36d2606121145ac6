/**
 * Entry VMs, backend servers and platform in one process under a virtual clock.
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

/** Lag of the VM list, in milliseconds. */
const VM_LIST_LAG_MS = 1_000;

/** Time after which a started fleet has read its configuration and its VM list, in milliseconds. */
const WARM_UP_MS = 3_000;

/** Distance of the memberships' seeds from those of the nodes. */
const MEMBERSHIP_SEED_OFFSET = 500;

/** Settings of an {@linkcode InProcessFleet}. */
export interface InProcessFleetSettings {
    readonly deployment: Deployment;
    /** Seed of all random numbers. Defaults to 1. */
    readonly seed?: number;
    /** Settings of the log service. */
    readonly log?: LogModelSettings;
    /** How far the clock of each node is ahead, in milliseconds, in the order of the nodes. Defaults to 0. */
    readonly clockSkewsMs?: readonly number[];
    /** Which idempotency keys are taken. */
    readonly keyRules?: KeyRules;
    /** Settings of nodes that replace the usual ones. */
    readonly node?: Pick<Partial<EntryNodeSettings>, "observer" | "makeScheduler">;
    /** Receiver of events about rollouts. Defaults to none. */
    readonly webhook?: Webhook;
}

/** Fleet in one process; every part is the real one but for engines, services and platform. */
export class InProcessFleet {
    readonly clock = new VirtualClock();
    readonly engines = new Map<string, EngineModel>();
    readonly services = new Map<string, ServiceModel>();
    readonly ledger = new EffectLedger();
    readonly disseminationHub = new DisseminationHub(this.clock);
    readonly peerNetwork = new LocalPeerNetwork(this.clock);
    readonly log: LogModel;
    /** Ways of the nodes to the log, by node. */
    readonly nodeLogs = new Map<string, NodeLog>();
    readonly configurationHub = new ConfigurationHub(this.clock);
    readonly vmList = new VmListModel(this.clock, VM_LIST_LAG_MS);
    readonly nodes: EntryNode[] = [];
    /** Connections of each node, in the order of the nodes. */
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

    /** Publishes configuration and VM list, starts the nodes and lets them read both. */
    async start(): Promise<void> {
        this.publishVms();
        await this.clock.runUntil(this.log.append(CONFIGURATION_STREAM, toInitialRecord(this.document)));
        for (const node of this.nodes) {
            node.start();
        }
        await this.clock.advance(WARM_UP_MS);
    }

    /** Sets the state of one VM in the VM list. */
    setVmState(id: string, state: VmState): void {
        const index = this.vms.findIndex(vm => vm.id === id);
        this.vms[index] = { ...this.vms[index], state };
        this.publishVms();
    }

    /** Takes a VM off the VM list. */
    removeVm(id: string): void {
        const index = this.vms.findIndex(vm => vm.id === id);
        this.vms.splice(index, 1);
        this.publishVms();
    }

    /**
     * Sends one call to a node.
     *
     * @returns The call's answer, which fills as the clock is advanced.
     */
    send(node: EntryNode, call: Partial<IncomingCall>): RecordedAnswer {
        this.callCount += 1;
        const life = new AbortController();
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
            abortController: life,
            ...call,
        };
        const writer = new RecordingWriter();
        const done = node.handler.handle(incoming, writer);
        return { id: incoming.id, writer, abortController: life, done };
    }

    /**
     * Adds an entry VM; it is not started yet.
     *
     * @returns The node; {@linkcode nodeLogs} holds its way to the log.
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

    /** Replaces a node by one that has read nothing, as when its VM is replaced. */
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
            configurationPeers: this.configurationHub.join(address),
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

    /** VMs of the nodes. */
    get entryVms(): readonly Vm[] {
        return this.vms.filter(vm => vm.role === VmRole.Entry);
    }

    /** Tells the VM list of the VMs as they are now. */
    publishVms(): void {
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
        // Values go through the hub; this one only carries news of members.
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

/** Answer as its caller sees it. */
export interface RecordedAnswer {
    readonly id: string;
    readonly writer: RecordingWriter;
    /** Aborting it makes the caller go away. */
    readonly abortController: AbortController;
    /** Resolves when the call has been handled. */
    readonly done: Promise<void>;
}

/** Writer that keeps what is written. */
export class RecordingWriter extends AnswerWriter {
    head: AnswerHead | undefined;
    /** Whether the answer was ended as a whole one. */
    ended = false;
    /** Whether the answer was broken off. */
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

/** Observer that keeps nothing. */
class NoopCallObserver extends CallObserver {
    override recordAccepted(): void {
        // Nothing is kept.
    }

    override recordAnswered(): void {
        // Nothing is kept.
    }

    override recordRefused(): void {
        // Nothing is kept.
    }
}
