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
    ConfigurationFollower,
    Dispatcher,
    LocalCallGuard,
    PlatformWatch,
    RequestHandler,
    RetryBudget,
    type Scheduler,
    TieredScheduler,
} from "../coordination/mod.js";
import type { Dissemination, Engine, LogService, PlainService, VmList } from "../protocol/mod.js";
import {
    BackendTable,
    type Clock,
    ConfigurationView,
    EventRing,
    HybridClock,
    type RandomSource,
    type Vm,
    VmRole,
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
    readonly observer: CallObserver;
    /** Makes the scheduler of a node. Defaults to a {@linkcode TieredScheduler}. */
    readonly makeScheduler?: (node: EntryNode) => Scheduler;
}

/** State and coordination of one entry VM. */
export class EntryNode {
    readonly view = new ConfigurationView();
    readonly table = new BackendTable();
    readonly hybridClock: HybridClock;
    readonly ring: EventRing;
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
        const { view, table } = this;
        this.hybridClock = new HybridClock(clock);
        this.ring = new EventRing(settings.node, this.hybridClock);
        const { ring } = this;
        this.watch = new PlatformWatch({ clock, ring, vmList: settings.vmList, engine, table });
        this.follower = new ConfigurationFollower({ clock, ring, log: settings.log, view });
        const { node, dissemination } = settings;
        const scheduler = settings.makeScheduler?.(this) ??
            new TieredScheduler({ node, clock, random, table, view, dissemination, ring, engine });
        this.scheduler = scheduler;
        this.handler = new RequestHandler({
            clock,
            ring,
            resolver: new CallResolver(view, clock),
            guard: new LocalCallGuard(),
            dispatcher: new Dispatcher({ scheduler, retryBudget: new RetryBudget(clock), ring }),
            engine,
            plainService,
            observer,
        });
    }

    /** Whether the node has a configuration to serve by. */
    get configured(): boolean {
        return this.view.current.version >= 0;
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
        this.stopped.abort();
        await Promise.all(this.tasks);
    }
}
