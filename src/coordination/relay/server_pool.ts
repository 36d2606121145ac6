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
const FIRST_MS_PER_PROMPT_TOKEN = 0.01;

/** Time between events at a server that nobody has measured yet, in milliseconds. */
const FIRST_MS_PER_EVENT = 25;

/** Time of a call at a server that nobody has measured yet, in milliseconds; short, so that no call waits for an allotment until then. */
const FIRST_CALL_MS = 20;

/** Keeps the state of each server by service. */
export class ServerPool {
    private readonly states = new Map<string, ServerState>();
    private readonly services = new Map<string, ServerState[]>();
    private readonly profiles = new Map<string, ServerProfile>();

    /**
     * @param clock Clock that dates calls.
     * @param peers Calls that other nodes have under way.
     */
    constructor(private readonly clock: Clock, private readonly peers: PeerTable) {}

    /** Takes a new server or a new report of a known one. */
    put(server: RelayServer): void {
        const state = this.states.get(server.id);
        if (state !== undefined && state.server.startedAtMs === server.startedAtMs && state.server.service === server.service) {
            state.server = server;
            return;
        }
        this.remove(server.id);
        const key = hashKey(server.id);
        const added = new ServerState(server, this.profile(server.service), this.clock, () => this.peers.callsAt(key));
        this.states.set(server.id, added);
        this.services.set(server.service, [...this.listed(server.service), added]);
    }

    /** Removes a server. Calls under way there go on. */
    remove(id: string): void {
        const state = this.states.get(id);
        if (state === undefined) {
            return;
        }
        this.states.delete(id);
        const { service } = state.server;
        this.services.set(service, this.listed(service).filter(other => other !== state));
    }

    /** State of a server. */
    find(id: string): ServerState | undefined {
        return this.states.get(id);
    }

    /** All servers. */
    all(): Iterable<ServerState> {
        return this.states.values();
    }

    /** Servers of a service that take new calls. */
    open(service: string): readonly ServerState[] {
        return this.listed(service).filter(state => !state.server.isDraining);
    }

    /** Adds up a figure of the servers of each service. */
    countByService(figure: (state: ServerState) => number): readonly (readonly [string, number])[] {
        return [...this.services].map(([service, states]) => {
            return [service, states.reduce((sum, state) => sum + figure(state), 0)];
        });
    }

    private listed(service: string): readonly ServerState[] {
        return this.services.get(service) ?? [];
    }

    private profile(service: string): ServerProfile {
        let profile = this.profiles.get(service);
        if (profile === undefined) {
            profile = new ServerProfile(FIRST_MS_PER_PROMPT_TOKEN, FIRST_MS_PER_EVENT, FIRST_CALL_MS);
            this.profiles.set(service, profile);
        }
        return profile;
    }
}
