/**
 * Whether this node reaches any backend server of a service.
 *
 * A node that loses its links cannot tell a server's fault from its own by one server. When several servers fall silent or cannot be
 * connected to at the same time and none is heard, the service counts as lost until new connections to some of its servers succeed.
 *
 * @module
 */

import type { Clock, RandomSource, RelayServer } from "../../state/relay/mod.js";
import type { ServerState } from "./server_state.js";
import { TurnWatch } from "./turn_watch.js";

/** Servers without a connection or an answer from which a service may be lost; all if it has fewer. */
const MIN_FAILED_SERVERS = 2;

/** Time without a byte from any server of a service from which it may be lost, in milliseconds. */
const MIN_SILENCE_MS = 400;

/** Time since the last check from which this node was held up itself, in milliseconds. */
const MIN_HOLD_UP_MS = 400;

/** Servers to which a connection must succeed until a lost service is regained; all if it has fewer. */
const MIN_PROBED_SERVERS = 2;

/** Interval of the probes of a lost service, in milliseconds. */
const PROBE_INTERVAL_MS = 250;

/** Shortest time for which a service is lost, in milliseconds; doubles when it is lost again soon, so that calls do not flap. */
const MIN_LOSS_MS = 500;
const MAX_LOSS_MS = 8_000;

/** Time after a loss in which another one counts as soon, in milliseconds. */
const LOSS_MEMORY_MS = 10_000;

/** Loss of one service. */
interface Loss {
    readonly service: string;
    readonly startedAtMs: number;
    /** Servers to which a connection succeeded since the start. */
    readonly probedServers: Set<string>;
    readonly minDurationMs: number;
    nextProbeAtMs: number;
}

/** Attempt at a server that may be repeated elsewhere. */
export interface WaitingAttempt {
    readonly state: ServerState;
    /** Called when the service is lost while the server is silent. */
    readonly onLost: () => void;
}

/** Settings of a {@linkcode ServerReach}. */
export interface ServerReachSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly services: () => Iterable<string>;
    /** Returns the servers of a service that accept new calls. */
    readonly openServers: (service: string) => readonly ServerState[];
    /** Opens a connection to a server; resolves with whether it was established. */
    readonly probe: (server: RelayServer) => Promise<boolean>;
    /** Called when a service is lost. */
    readonly onLost: (service: string) => void;
    /** Called when a service is regained, with the time for which it was lost, in milliseconds. */
    readonly onRegained: (service: string, lostMs: number) => void;
}

/** Detects services whose servers this node does not reach, and probes them until it does. */
export class ServerReach {
    private readonly losses = new Map<string, Loss>();
    private readonly turns: TurnWatch;
    /** Attempts that wait for an answer, by service. */
    private readonly attempts = new Map<string, Set<WaitingAttempt>>();
    /** Duration limits and ends of earlier losses. */
    private readonly ended = new Map<string, { readonly minDurationMs: number; readonly atMs: number }>();

    /** @param settings See {@linkcode ServerReachSettings}. */
    constructor(private readonly settings: ServerReachSettings) {
        this.turns = new TurnWatch(settings.clock, MIN_HOLD_UP_MS);
    }

    /** Whether this node reaches no server of a service. */
    isLost(service: string): boolean {
        return this.losses.has(service);
    }

    /** Services of which this node reaches no server. */
    lostServices(): readonly string[] {
        return [...this.losses.keys()];
    }

    /**
     * Watches an attempt that may be repeated elsewhere.
     *
     * @returns A function that ends the watch.
     */
    watch(service: string, attempt: WaitingAttempt): () => void {
        const attempts = this.attempts.get(service) ?? new Set();
        this.attempts.set(service, attempts);
        attempts.add(attempt);
        return () => attempts.delete(attempt);
    }

    /** Updates which services are lost, and probes those whose probes are due. */
    check(): void {
        this.turns.recordTurn();
        for (const service of this.settings.services()) {
            const loss = this.losses.get(service);
            if (loss !== undefined) {
                this.probeIfDue(loss);
            }
            else if (!this.turns.isReading && this.hasNoContact(service)) {
                this.startLoss(service);
            }
        }
    }

    private hasNoContact(service: string): boolean {
        const now = this.settings.clock.now();
        const servers = this.settings.openServers(service);
        const failed = servers.filter(state => state.isUnreachable || state.isUnresponsive);
        if (failed.length === 0 || failed.length < Math.min(MIN_FAILED_SERVERS, servers.length)) {
            return false;
        }
        return failed.length === servers.length || servers.every(state => state.lastByteAtMs <= now - MIN_SILENCE_MS);
    }

    private startLoss(service: string): void {
        const now = this.settings.clock.now();
        const earlier = this.ended.get(service);
        const isSoon = earlier !== undefined && earlier.atMs >= now - LOSS_MEMORY_MS;
        this.losses.set(service, {
            service,
            startedAtMs: now,
            probedServers: new Set(),
            minDurationMs: isSoon ? Math.min(MAX_LOSS_MS, 2 * earlier.minDurationMs) : MIN_LOSS_MS,
            nextProbeAtMs: now + PROBE_INTERVAL_MS,
        });
        this.settings.onLost(service);
        for (const { state, onLost } of [...this.attempts.get(service) ?? []]) {
            if (state.lastByteAtMs <= now - MIN_SILENCE_MS) {
                onLost();
            }
        }
    }

    private probeIfDue(loss: Loss): void {
        const { clock, random, openServers } = this.settings;
        const servers = openServers(loss.service);
        if (servers.length === 0) {
            this.endLoss(loss);
            return;
        }
        if (clock.now() < loss.nextProbeAtMs) {
            return;
        }
        loss.nextProbeAtMs = clock.now() + PROBE_INTERVAL_MS;
        const unproved = servers.filter(({ server }) => !loss.probedServers.has(server.id));
        const candidates = unproved.length > 0 ? unproved : servers;
        const chosen = candidates[random.nextInt(candidates.length)];
        if (chosen !== undefined) {
            void this.probe(loss, chosen.server);
        }
    }

    private async probe(loss: Loss, server: RelayServer): Promise<void> {
        const { clock, openServers, probe } = this.settings;
        // A probe that fails says the same as one without a connection.
        if (!await probe(server).catch(() => false) || this.losses.get(loss.service) !== loss) {
            return;
        }
        loss.probedServers.add(server.id);
        const needed = Math.min(MIN_PROBED_SERVERS, openServers(loss.service).length);
        if (loss.probedServers.size >= needed && clock.now() - loss.startedAtMs >= loss.minDurationMs) {
            this.endLoss(loss);
        }
    }

    private endLoss({ service, startedAtMs, minDurationMs }: Loss): void {
        const now = this.settings.clock.now();
        this.losses.delete(service);
        this.ended.set(service, { minDurationMs, atMs: now });
        for (const state of this.settings.openServers(service)) {
            state.resetReach();
        }
        this.settings.onRegained(service, now - startedAtMs);
    }
}
