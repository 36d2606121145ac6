/**
 * Backend servers of all services with this node's measurements of them.
 *
 * @module
 */

import { hashKey } from "../../protocol/relay/mod.js";
import { type Clock, type RelayServer, ServerProfile } from "../../state/relay/mod.js";
import type { PeerTable } from "./peer_table.js";
import { ServerState, type ServerStateDependencies } from "./server_state.js";

/** Initial estimate of the time per prompt token, in milliseconds; a large accelerator prefills 100 tokens per ms. */
const INITIAL_MS_PER_PROMPT_TOKEN = 0.01;

/** Initial estimate of the time between events, in milliseconds. */
const INITIAL_MS_PER_EVENT = 25;

/** Initial estimate of a call's duration, in milliseconds; short, so that no call waits for an allotment before one is measured. */
const INITIAL_CALL_MS = 20;

/** Holds the state of each server, by id and by service. */
export class ServerPool {
    private readonly statesById = new Map<string, ServerState>();
    private readonly statesByService = new Map<string, ServerState[]>();
    private readonly profilesByService = new Map<string, ServerProfile>();

    /**
     * @param clock Time source of the server states.
     * @param peers Calls that other nodes have in flight.
     * @param dependencies Optional dependencies of the server states.
     */
    constructor(
        private readonly clock: Clock,
        private readonly peers: PeerTable,
        private readonly dependencies: ServerStateDependencies = {},
    ) {}

    /** Adds a server, or updates it from a newer report; a new incarnation or service starts with fresh state. */
    put(server: RelayServer): void {
        this.dependencies.statements?.cold?.statements.recordEntry(server);
        const state = this.statesById.get(server.id);
        if (state !== undefined && state.server.startedAtMs === server.startedAtMs && state.server.service === server.service) {
            state.update(server);
            return;
        }
        this.remove(server.id);
        const key = hashKey(server.id);
        const profile = this.profileOf(server.service);
        const added = new ServerState(server, profile, this.clock, () => this.peers.callsAt(key), this.dependencies);
        this.statesById.set(server.id, added);
        this.statesByService.set(server.service, [...this.statesOf(server.service), added]);
    }

    /** Removes a server. Its calls in flight continue. */
    remove(id: string): void {
        const state = this.statesById.get(id);
        if (state === undefined) {
            return;
        }
        this.statesById.delete(id);
        const { service } = state.server;
        this.statesByService.set(service, this.statesOf(service).filter(other => other !== state));
    }

    /** Finds the state of a server by its id. */
    find(id: string): ServerState | undefined {
        return this.statesById.get(id);
    }

    /** Returns the states of all servers. */
    all(): Iterable<ServerState> {
        return this.statesById.values();
    }

    /** Returns the servers of a service that accept new calls. */
    openServers(service: string): readonly ServerState[] {
        return this.statesOf(service).filter(state => !state.server.isDraining && !state.isLeaving);
    }

    /** Sums a value over the servers of each service. */
    sumByService(valueOf: (state: ServerState) => number): readonly (readonly [string, number])[] {
        return [...this.statesByService].map(([service, states]) => {
            return [service, states.reduce((sum, state) => sum + valueOf(state), 0)];
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
