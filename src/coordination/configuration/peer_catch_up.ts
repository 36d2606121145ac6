/**
 * Catch-up with peers that have read further in the log than this node.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import type { configurationWire } from "../../protocol/mod.js";
import { type ConfigurationClient, decodeSnapshot, type Dissemination, type SharedValue, Topic } from "../../protocol/mod.js";
import { type Clock, type EventRing, Part, type RandomSource, type Vm } from "../../state/mod.js";
import type { ConfigurationStateMachine } from "./configuration_state_machine.js";

/** Time to wait for the log to deliver records that a peer already has, before they are fetched from the peer, in milliseconds. */
const LOG_GRACE_PERIOD_MS = 500;

/** Time between two rounds of fetches while the log cannot be read or there is no configuration, in milliseconds. */
const FETCH_INTERVAL_MS = 1_000;

/** Number of peers fetched from in one round. */
const PEERS_PER_ROUND = 2;

/** Maximum time to wait for the reply of a peer, in milliseconds. */
const FETCH_TIMEOUT_MS = 1_000;

/** Settings of a {@linkcode PeerCatchUp}. */
export interface PeerCatchUpSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly ring: EventRing;
    readonly stateMachine: ConfigurationStateMachine;
    readonly dissemination: Dissemination;
    readonly client: ConfigurationClient;
    /** Returns the known entry VMs; the list may include this node. */
    readonly entryVms: () => readonly Vm[];
}

/** Publishes the next offset of this node to peers and fetches records or snapshots from peers that are ahead. */
export class PeerCatchUp {
    private readonly fetching = new Set<string>();

    /** @param settings See {@linkcode PeerCatchUpSettings}. */
    constructor(private readonly settings: PeerCatchUpSettings) {}

    /**
     * Exchanges offsets and records with peers until the signal is aborted.
     *
     * @param signal Ends the task.
     * @param needsPeers Returns whether this node cannot read the log or has no configuration.
     */
    async run(signal: AbortSignal, needsPeers: () => boolean): Promise<void> {
        const { clock, stateMachine, dissemination } = this.settings;
        const scheduler = newDefaultScheduler();
        void runEffects(tap(() => this.publish(), stateMachine.advances), scheduler);
        void runEffects(tap(value => void this.receiveSharedValue(value, signal), dissemination.arrivals), scheduler);
        while (await clock.sleep(FETCH_INTERVAL_MS, signal)) {
            if (needsPeers()) {
                await Promise.all(this.selectPeers().map(peer => this.fetchAll(peer, signal)));
            }
        }
    }

    private publish(): void {
        const { stateMachine, dissemination } = this.settings;
        if (stateMachine.isComplete) {
            dissemination.publish(Topic.ConfigurationVersion, "", Buffer.from(String(stateMachine.nextOffset)));
        }
    }

    private async receiveSharedValue(value: SharedValue, signal: AbortSignal): Promise<void> {
        const { clock, stateMachine, entryVms } = this.settings;
        if (value.topic !== Topic.ConfigurationVersion || signal.aborted) {
            return;
        }
        const offset = Number(Buffer.from(value.data).toString("utf8"));
        if (
            !(offset > stateMachine.nextOffset) || !await clock.sleep(LOG_GRACE_PERIOD_MS, signal) ||
            offset <= stateMachine.nextOffset
        ) {
            return;
        }
        const peer = entryVms().find(vm => vm.id === value.origin);
        if (peer !== undefined) {
            await this.fetchAll(peer, signal);
        }
    }

    private selectPeers(): readonly Vm[] {
        const { random, ring, entryVms } = this.settings;
        const others = entryVms().filter(vm => vm.id !== ring.node);
        const chosen: Vm[] = [];
        while (chosen.length < PEERS_PER_ROUND && others.length > 0) {
            chosen.push(...others.splice(random.nextInt(others.length), 1));
        }
        return chosen;
    }

    /** Fetches from a peer until it is no longer ahead. */
    private async fetchAll(peer: Vm, signal: AbortSignal): Promise<void> {
        if (this.fetching.has(peer.id)) {
            return;
        }
        this.fetching.add(peer.id);
        try {
            while (!signal.aborted && await this.fetchOnce(peer)) {
                // Each reply contains a bounded number of records.
            }
        }
        catch {
            // The next round selects peers again.
        }
        finally {
            this.fetching.delete(peer.id);
        }
    }

    /** Fetches one reply; returns whether the next offset advanced. */
    private async fetchOnce(peer: Vm): Promise<boolean> {
        const { ring, stateMachine, client } = this.settings;
        const fromOffset = stateMachine.nextOffset;
        const reply = await client.fetch(peer.address, { node: ring.node, fromOffset }, FETCH_TIMEOUT_MS);
        this.applyReply(fromOffset, reply);
        if (stateMachine.nextOffset <= fromOffset) {
            return false;
        }
        const text = `Offsets ${fromOffset} to ${stateMachine.nextOffset - 1} were fetched from a peer.`;
        ring.record({ part: Part.Configuration, kind: "caughtUp", text, peer: peer.id });
        return true;
    }

    private applyReply(fromOffset: number, reply: configurationWire.FetchConfigurationReply): void {
        const { stateMachine } = this.settings;
        if (reply.nextOffset <= stateMachine.nextOffset) {
            return;
        }
        if (reply.snapshot.length === 0) {
            stateMachine.applyRange({ fromOffset, nextOffset: reply.nextOffset, records: reply.records });
            return;
        }
        const snapshot = decodeSnapshot(reply.snapshot);
        if (snapshot !== undefined) {
            stateMachine.installSnapshot(snapshot);
        }
    }
}
