/**
 * Replication of the configuration to one node, from the log and from peers.
 *
 * @module
 */

import {
    type ConfigurationClient,
    type configurationWire,
    type Dissemination,
    encodeSnapshot,
    type LogService,
} from "../../protocol/mod.js";
import { type Clock, type ConfigurationView, type EventRing, Part, type RandomSource, type Vm } from "../../state/mod.js";
import type { ChangeResult } from "./change_outcome.js";
import { type ConfigurationProposal, ConfigurationProposer } from "./configuration_proposer.js";
import { ConfigurationStateMachine } from "./configuration_state_machine.js";
import { LogReader } from "./log_reader.js";
import { PeerCatchUp } from "./peer_catch_up.js";
import { SnapshotStore } from "./snapshot_store.js";

/** Settings of a {@linkcode ConfigurationFollower}. */
export interface ConfigurationFollowerSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly ring: EventRing;
    readonly log: LogService;
    readonly view: ConfigurationView;
    readonly dissemination: Dissemination;
    readonly client: ConfigurationClient;
    /** Returns the known entry VMs; the list may include this node. */
    readonly entryVms: () => readonly Vm[];
}

/** Keeps the configuration of one node up to date with the log, and proposes changes for operators. */
export class ConfigurationFollower {
    readonly stateMachine: ConfigurationStateMachine;
    readonly snapshots: SnapshotStore;
    private readonly reader: LogReader;
    private readonly catchUp: PeerCatchUp;
    private readonly proposer: ConfigurationProposer;
    private readonly stopped = new AbortController();

    /** @param settings See {@linkcode ConfigurationFollowerSettings}. */
    constructor(private readonly settings: ConfigurationFollowerSettings) {
        const { clock, random, ring, log, view, dissemination, client, entryVms } = settings;
        this.stateMachine = new ConfigurationStateMachine({ clock, ring, view });
        const { stateMachine } = this;
        this.snapshots = new SnapshotStore({ clock, random, ring, log, stateMachine });
        this.reader = new LogReader({ clock, ring, log, stateMachine, snapshots: this.snapshots });
        this.catchUp = new PeerCatchUp({ clock, random, ring, stateMachine, dissemination, client, entryVms });
        this.proposer = new ConfigurationProposer({ clock, log, view, stateMachine });
    }

    /** Whether the node has a configuration. */
    get isConfigured(): boolean {
        return this.settings.view.published.version >= 0;
    }

    /** Whether the last read of the log failed or the current one is overdue. */
    get isLogFailing(): boolean {
        return this.reader.isFailing;
    }

    /** Reason that the node is not ready, in one sentence. */
    get notReadyReason(): string {
        return this.reader.isFailing ?
            "No configuration yet: the log does not answer and no peer that answers has one." :
            "No configuration yet: the log holds none that this node could read so far.";
    }

    /** Reads the log, exchanges records with peers and writes snapshots until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        signal.addEventListener("abort", () => this.stopped.abort(), { once: true });
        await Promise.all([
            this.reader.run(signal),
            this.catchUp.run(signal, () => this.reader.isFailing || !this.isConfigured),
            this.snapshots.run(signal, () => !this.reader.isFailing),
        ]);
    }

    /**
     * Appends a change to the log and waits until it is read back.
     *
     * @throws {PlatformError} When the log did not answer and the record was not read back.
     */
    async propose(proposal: ConfigurationProposal): Promise<ChangeResult> {
        const result = await this.proposer.propose(proposal, this.stopped.signal);
        const text = `Change ${proposal.id} by ${proposal.author} against version ${proposal.madeAgainst}: ${result.outcome}.`;
        this.settings.ring.record({ part: Part.Configuration, kind: "change", text });
        return result;
    }

    /** Returns the records or the snapshot that a peer needs to catch up; empty when this node is not ahead of the peer. */
    replyToPeer({ fromOffset }: configurationWire.FetchConfigurationRequest): configurationWire.FetchConfigurationReply {
        const { stateMachine } = this;
        const emptyReply = { nextOffset: 0, records: [], snapshot: Buffer.alloc(0) };
        const snapshot = stateMachine.snapshot();
        if (snapshot === undefined || fromOffset >= stateMachine.nextOffset) {
            return emptyReply;
        }
        const records = stateMachine.recentRecords.readFrom(fromOffset);
        if (records === undefined) {
            return { ...emptyReply, nextOffset: stateMachine.nextOffset, snapshot: Buffer.from(encodeSnapshot(snapshot)) };
        }
        const last = records.at(-1);
        const copies = records.map(({ offset, data }) => ({ offset, data: Buffer.from(data) }));
        return { ...emptyReply, nextOffset: last === undefined ? stateMachine.nextOffset : last.offset + 1, records: copies };
    }
}
