/**
 * Backend servers of all services with what this node has learned of them.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import { type Clock, type RelayServer, ServerProfile } from "../../state/relay/mod.js";
import type { PeerTable } from "./peer_table.js";
import { ServerState } from "./server_state.js";

/** Time for one prompt token at a server that nobody has measured yet, in milliseconds; a large accelerator reads 100 a ms. */
const INITIAL_MS_PER_PROMPT_TOKEN = 0.01;

/** Time between events at a server that nobody has measured yet, in milliseconds. */
const INITIAL_MS_PER_EVENT = 25;

/** Time of a call at a server that nobody has measured yet, in milliseconds; short, so that no call waits for an allotment until then. */
const INITIAL_CALL_MS = 20;

/** Keeps the state of each server by service. */
export class ServerPool {
    private readonly statesById = new Map<string, ServerState>();
    private readonly statesByService = new Map<string, ServerState[]>();
    private readonly profilesByService = new Map<string, ServerProfile>();

    /**
     * @param clock Clock that dates calls.
     * @param peers Calls that other nodes have under way.
     */
    constructor(private readonly clock: Clock, private readonly peers: PeerTable) {}

    /** Takes a new server or a new report of a known one. */
    put(server: RelayServer): void {
        const state = this.statesById.get(server.id);
        if (state !== undefined && state.server.startedAtMs === server.startedAtMs && state.server.service === server.service) {
            state.server = server;
            return;
        }
        this.remove(server.id);
        const key = hashKey(server.id);
        const added = new ServerState(server, this.profileOf(server.service), this.clock, () => this.peers.callsAt(key));
        this.statesById.set(server.id, added);
        this.statesByService.set(server.service, [...this.statesOf(server.service), added]);
    }

    /** Removes a server. Calls under way there go on. */
    remove(id: string): void {
        const state = this.statesById.get(id);
        if (state === undefined) {
            return;
        }
        this.statesById.delete(id);
        const { service } = state.server;
        this.statesByService.set(service, this.statesOf(service).filter(other => other !== state));
    }

    /** State of a server. */
    find(id: string): ServerState | undefined {
        return this.statesById.get(id);
    }

    /** All servers. */
    all(): Iterable<ServerState> {
        return this.statesById.values();
    }

    /** Servers of a service that take new calls. */
    openServers(service: string): readonly ServerState[] {
        return this.statesOf(service).filter(state => !state.server.isDraining);
    }

    /** Adds up a figure of the servers of each service. */
    sumByService(figure: (state: ServerState) => number): readonly (readonly [string, number])[] {
        return [...this.statesByService].map(([service, states]) => {
            return [service, states.reduce((sum, state) => sum + figure(state), 0)];
        });
    }

    private statesOf(service: string): readonly ServerState[] {
        return this.statesByService.get(service) ?? [];
    }

    private profileOf(service: string): ServerProfile {
        let profile = this.profilesByService.get(service);
        if (profile === undefined) {
            profile = new ServerProfile(INITIAL_MS_PER_PROMPT_TOKEN, INITIAL_MS_PER_EVENT, INITIAL_CALL_MS);
            this.profilesByService.set(service, profile);
        }
        return profile;
    }
}
