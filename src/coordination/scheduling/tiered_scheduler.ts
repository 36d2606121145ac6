/**
 * Scheduler that preserves the priority of tiers under overload, on one node and across its peers.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import {
    type AcceptedCall,
    type Dissemination,
    type Engine,
    schedulingWire,
    type SharedValue,
    Topic,
} from "../../protocol/mod.js";
import {
    type BackendServer,
    type BackendTable,
    type Clock,
    type ConfigurationView,
    type EventRing,
    LoadView,
    Part,
    PoolKind,
    PrefixIndex,
    type RandomSource,
} from "../../state/mod.js";
import { type Assignment, type AssignSettings, Scheduler } from "../scheduler.js";
import { AnyVersion, type VersionPolicy } from "../version_policy.js";
import { CacheEventReader } from "./cache_event_reader.js";
import { CostModel } from "./cost_model.js";
import { PoolScheduler } from "./pool_scheduler.js";
import { SchedulingCounts } from "./scheduling_counts.js";

/** Time between two runs of the periodic work, in milliseconds. */
const TICK_MS = 100;

/** Time between two publications of this node's outstanding work and claims, in milliseconds. */
const PUBLISH_INTERVAL_MS = 1_000;

/** Maximum number of backend servers in one publication. */
const MAX_PUBLISHED_SERVERS = 16;

/** Tokens per unit of published work. */
const TOKENS_PER_KILOTOKEN = 1_000;

/** Settings of a {@linkcode TieredScheduler}. */
export interface TieredSchedulerSettings {
    /** Id of this node. */
    readonly node: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly table: BackendTable;
    readonly view: ConfigurationView;
    readonly dissemination: Dissemination;
    readonly ring: EventRing;
    /** Connection to engines, from which cache events are read. */
    readonly engine: Engine;
    /** Selects the version of each call. Defaults to any version. */
    readonly versionPolicy?: VersionPolicy;
}

/**
 * Schedules the calls of all pools.
 *
 * @example
 * const scheduler = new TieredScheduler(settings);
 * void scheduler.run(signal);
 * const assignment = await scheduler.assign(call, { signal, excludedServers: new Set() });
 */
export class TieredScheduler extends Scheduler {
    /** Counters of scheduling decisions. */
    readonly counts: SchedulingCounts;
    private readonly schedulers = new Map<string, PoolScheduler>();
    private readonly costs = new CostModel();
    private readonly prefixes: PrefixIndex;
    private readonly load = new LoadView();
    private publishedAtMs = 0;

    /** @param settings See {@linkcode TieredSchedulerSettings}. */
    constructor(private readonly settings: TieredSchedulerSettings) {
        super();
        this.prefixes = new PrefixIndex(settings.clock);
        this.counts = new SchedulingCounts(settings.ring);
    }

    /** Schedulers of the pools that have had calls or claims, by pool. */
    get pools(): ReadonlyMap<string, PoolScheduler> {
        return this.schedulers;
    }

    override assign(call: AcceptedCall, settings: AssignSettings): Promise<Assignment> {
        return this.poolScheduler(call.operation.pool).assign(call, settings);
    }

    override async run(signal: AbortSignal): Promise<void> {
        const { clock, dissemination } = this.settings;
        void runEffects(tap(value => this.receiveSharedValue(value), dissemination.arrivals), newDefaultScheduler());
        const reader = new CacheEventReader(this.settings.engine, this.prefixes, clock);
        void reader.run(() => this.cacheEventSources(), signal);
        while (!signal.aborted) {
            this.tick();
            await clock.sleep(TICK_MS, signal);
        }
    }

    private tick(): void {
        const nowMs = this.settings.clock.now();
        this.load.refresh(nowMs);
        for (const [name, scheduler] of this.schedulers) {
            scheduler.servers.reconcile(this.settings.table.inPool(name));
            scheduler.tick();
        }
        if (nowMs - this.publishedAtMs >= PUBLISH_INTERVAL_MS) {
            this.publish();
            this.publishedAtMs = nowMs;
        }
    }

    private cacheEventSources(): readonly BackendServer[] {
        const engines: BackendServer[] = [];
        for (const { servers, isService } of this.schedulers.values()) {
            if (!isService) {
                engines.push(...Array.from(servers.windows, window => window.server));
            }
        }
        return engines;
    }

    private poolScheduler(name: string): PoolScheduler {
        const existing = this.schedulers.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const { node, clock, random, table, view, versionPolicy = new AnyVersion() } = this.settings;
        const isService = view.current.document.pools.find(pool => pool.name === name)?.kind === PoolKind.Service;
        const scheduler = new PoolScheduler({
            pool: name,
            isService,
            node,
            clock,
            random,
            costs: this.costs,
            prefixes: this.prefixes,
            load: this.load,
            versionPolicy,
            observer: this.counts,
            ranks: () => this.ranksOf(name),
            onClaim: () => this.publishClaims(name),
        });
        scheduler.servers.reconcile(table.inPool(name));
        this.schedulers.set(name, scheduler);
        return scheduler;
    }

    private ranksOf(pool: string): readonly number[] {
        const { view } = this.settings;
        const ranks = new Set<number>();
        for (const operation of view.current.document.operations) {
            const tier = view.tier(operation.tier);
            if (operation.pool === pool && tier !== undefined) {
                ranks.add(tier.rank);
            }
        }
        return [...ranks].sort((left, right) => left - right);
    }

    private publish(): void {
        for (const [name, scheduler] of this.schedulers) {
            this.publishClaims(name);
            const loads = [...scheduler.servers.windows]
                .map(({ server, outstandingTokens }) => ({
                    server: server.vm.id,
                    kilotokens: Math.round(outstandingTokens / TOKENS_PER_KILOTOKEN),
                }))
                .filter(load => load.kilotokens > 0)
                .sort((left, right) => right.kilotokens - left.kilotokens);
            const servers = loads.slice(0, MAX_PUBLISHED_SERVERS);
            this.settings.dissemination.publish(Topic.SentLoad, name, schedulingWire.SentWork.encode({ servers }).finish());
        }
    }

    private publishClaims(name: string): void {
        for (const own of this.schedulers.get(name)?.claims.renew() ?? []) {
            const claim = schedulingWire.AdmissionClaim.encode({ pool: name, ...own });
            this.settings.dissemination.publish(Topic.AdmissionLevel, `${name} ${own.lowestRank}`, claim.finish());
        }
    }

    private receiveSharedValue(value: SharedValue): void {
        try {
            this.applySharedValue(value);
        }
        catch (error) {
            const text = `Shared value of node ${value.origin} could not be decoded: ${(error as Error).message}.`;
            this.settings.ring.record({ part: Part.Schedule, kind: "valueSkipped", text, peer: value.origin });
        }
    }

    private applySharedValue(value: SharedValue): void {
        if (value.topic === Topic.AdmissionLevel) {
            const claim = schedulingWire.AdmissionClaim.decode(value.data);
            const scheduler = this.poolScheduler(claim.pool);
            scheduler.claims.receivePeerClaim(value.origin, claim, value.ageMs);
            scheduler.applyClaims();
        }
        if (value.topic === Topic.SentLoad) {
            const { servers } = schedulingWire.SentWork.decode(value.data);
            const loads = servers.map(load => ({ server: load.server, tokens: load.kilotokens * TOKENS_PER_KILOTOKEN }));
            this.load.recordPeerReport(`${value.origin} ${value.key}`, loads, this.settings.clock.now() - value.ageMs);
        }
    }
}
