/**
 * In-process fleet of nodes that only follow the configuration log, cheap enough to simulate days.
 *
 * @module
 */

import { ConfigurationFollower } from "../src/coordination/mod.js";
import type { LogService } from "../src/protocol/mod.js";
import { ConfigurationView, EventRing, HybridClock, SeededRandom, type Vm, VmRole, VmState } from "../src/state/mod.js";
import { ConfigurationHub } from "./local_configuration_client.js";
import { DisseminationHub } from "./local_dissemination.js";
import { LogModel, type LogModelSettings } from "./log_model.js";
import { NodeLog } from "./node_log.js";
import { VirtualClock } from "./virtual_clock.js";

/** Interval at which a node polls the log, in milliseconds. */
const LOG_POLL_INTERVAL_MS = 2_000;

/** Node that only follows the configuration log. */
export interface ConfigurationNode {
    readonly vm: Vm;
    readonly ring: EventRing;
    readonly view: ConfigurationView;
    readonly follower: ConfigurationFollower;
    readonly log: NodeLog;
    /** Resolves when the node has stopped. */
    readonly done: Promise<void>;
    readonly stop: () => void;
}

/** Settings of a {@linkcode ConfigurationNode}. */
export interface ConfigurationNodeSettings {
    /** Whether the node is partitioned from its peers. Defaults to `false`. */
    readonly isolated?: boolean;
    /** Log service that the node uses. Defaults to the fleet's log. */
    readonly log?: LogService;
}

/** Nodes with their shared log and the in-process networks between them. */
export class ConfigurationFleet {
    readonly clock = new VirtualClock();
    readonly disseminationHub = new DisseminationHub(this.clock);
    readonly configurationHub = new ConfigurationHub(this.clock);
    readonly log: LogModel;
    readonly nodes: ConfigurationNode[] = [];

    /** @param settings Settings of the log. */
    constructor(settings: LogModelSettings) {
        this.log = new LogModel(this.clock, settings);
    }

    /**
     * Starts a node.
     *
     * @param settings See {@linkcode ConfigurationNodeSettings}.
     */
    addNode(settings: ConfigurationNodeSettings = {}): ConfigurationNode {
        const { clock } = this;
        const index = this.nodes.length;
        const id = `node-${index + 1}`;
        const vm: Vm = { id, role: VmRole.Entry, address: `127.0.0.1:${index + 1}`, failureDomain: "a", state: VmState.Live };
        const ring = new EventRing(id, new HybridClock(clock));
        const view = new ConfigurationView(clock);
        const log = new NodeLog(settings.log ?? this.log, clock, LOG_POLL_INTERVAL_MS);
        const dissemination = this.disseminationHub.join(id);
        const configurationClient = this.configurationHub.join(vm.address);
        const entryVms = () => this.nodes.map(node => node.vm);
        const random = new SeededRandom(index + 1);
        const follower = new ConfigurationFollower({
            clock,
            random,
            ring,
            log,
            view,
            dissemination,
            client: configurationClient,
            entryVms,
        });
        this.configurationHub.handlers.set(vm.address, request => follower.replyToPeer(request));
        this.setIsolated(vm, settings.isolated ?? false);
        const stopped = new AbortController();
        const node = { vm, ring, view, follower, log, done: follower.run(stopped.signal), stop: () => stopped.abort() };
        this.nodes.push(node);
        return node;
    }

    /** Partitions a node from its peers, or heals the partition. */
    setIsolated(vm: Vm, isolated: boolean): void {
        this.disseminationHub.setIsolated(vm.id, isolated);
        if (isolated) {
            this.configurationHub.isolated.add(vm.address);
        }
        else {
            this.configurationHub.isolated.delete(vm.address);
        }
    }

    /** Stops all nodes and waits until they have stopped. */
    async stop(): Promise<void> {
        for (const node of this.nodes) {
            node.stop();
        }
        await this.clock.runUntil(Promise.all(this.nodes.map(node => node.done)));
    }
}
