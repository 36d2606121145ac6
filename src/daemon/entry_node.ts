/**
 * Everything of an entry VM but its connections, so that tests can compose it with stand-ins and another clock.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import {
    type CallObserver,
    CallResolver,
    ClaimGuard,
    ConfigurationFollower,
    Dispatcher,
    NoClaimClient,
    PlatformWatch,
    RequestHandler,
    RetryBudget,
    type Scheduler,
    TieredScheduler,
} from "../coordination/mod.js";
import type {
    ClaimClient,
    ConfigurationPeers,
    Dissemination,
    Engine,
    LogService,
    Member,
    MemberView,
    PlainService,
    VmList,
} from "../protocol/mod.js";
import {
    BackendTable,
    type Clock,
    ConfigurationView,
    EventRing,
    HybridClock,
    type RandomSource,
    type Vm,
    VmRole,
    VmState,
} from "../state/mod.js";

/** What a node needs from outside. */
export interface NodeSettings {
    /** Id of the node. */
    readonly node: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly engine: Engine;
    readonly plainService: PlainService;
    readonly log: LogService;
    readonly vmList: VmList;
    /** Values shared with other nodes. */
    readonly dissemination: Dissemination;
    /** Configuration of other nodes. */
    readonly configurationPeers: ConfigurationPeers;
    readonly observer: CallObserver;
    /** Connections to the claim combiners of other nodes. Defaults to none. */
    readonly claimClient?: ClaimClient;
    /** Age beyond which a dated idempotency key is refused, in milliseconds. Defaults to 6 days. */
    readonly claimHorizonMs?: number;
    /** Makes the scheduler of a node. Defaults to a {@linkcode TieredScheduler}. */
    readonly makeScheduler?: (node: EntryNode) => Scheduler;
}

/** Longest time that a node which ends waits for its outcomes to reach the log, in milliseconds. */
const CLAIM_FLUSH_LIMIT_MS = 5_000;

/** State and coordination of one entry VM. */
export class EntryNode implements MemberView {
    readonly view: ConfigurationView;
    readonly table = new BackendTable();
    readonly hybridClock: HybridClock;
    readonly ring: EventRing;
    readonly guard: ClaimGuard;
    readonly scheduler: Scheduler;
    readonly handler: RequestHandler;
    readonly follower: ConfigurationFollower;
    /** Entry VMs of the last VM list, this one included. */
    entryVms: readonly Vm[] = [];
    private readonly watch: PlatformWatch;
    private readonly stopped = new AbortController();
    private tasks: readonly Promise<void>[] = [];

    /** @param settings See {@linkcode NodeSettings}. */
    constructor(readonly settings: NodeSettings) {
        const { clock, random, engine, plainService, observer } = settings;
        this.view = new ConfigurationView(clock);
        const { view, table } = this;
        this.hybridClock = new HybridClock(clock);
        this.ring = new EventRing(settings.node, this.hybridClock);
        const { ring } = this;
        this.watch = new PlatformWatch({ clock, ring, vmList: settings.vmList, engine, table });
        this.follower = new ConfigurationFollower({
            clock,
            random,
            ring,
            log: settings.log,
            view,
            dissemination: settings.dissemination,
            peers: settings.configurationPeers,
            entryVms: () => this.entryVms,
        });
        this.guard = new ClaimGuard({
            node: settings.node,
            clock,
            ring,
            log: settings.log,
            members: this,
            client: settings.claimClient ?? new NoClaimClient(),
            horizonMs: settings.claimHorizonMs,
        });
        const { node, dissemination } = settings;
        const scheduler = settings.makeScheduler?.(this) ??
            new TieredScheduler({ node, clock, random, table, view, dissemination, ring, engine });
        this.scheduler = scheduler;
        this.handler = new RequestHandler({
            clock,
            ring,
            resolver: new CallResolver(view, clock),
            guard: this.guard,
            dispatcher: new Dispatcher({ scheduler, retryBudget: new RetryBudget(clock), ring }),
            engine,
            plainService,
            observer,
        });
    }

    /** Whether the node has a configuration to serve by. */
    get configured(): boolean {
        return this.follower.configured;
    }

    /** Entry VMs that take new work, this one included. */
    get live(): readonly Member[] {
        return this.entryVms.filter(vm => vm.state === VmState.Live);
    }

    /** Starts the tasks that follow the platform. */
    start(): void {
        const keepEntryVms = (vms: readonly Vm[]) => {
            this.entryVms = vms.filter(vm => vm.role === VmRole.Entry);
        };
        void runEffects(tap(keepEntryVms, this.watch.lists), newDefaultScheduler());
        const { signal } = this.stopped;
        this.tasks = [this.follower.run(signal), this.watch.run(signal), this.scheduler.run(signal)];
    }

    /** Ends the tasks. */
    async stop(): Promise<void> {
        const limit = new AbortController();
        void this.settings.clock.sleep(CLAIM_FLUSH_LIMIT_MS, limit.signal).then(() => limit.abort());
        await this.guard.close(limit.signal);
        limit.abort();
        this.stopped.abort();
        await Promise.all(this.tasks);
    }
}
