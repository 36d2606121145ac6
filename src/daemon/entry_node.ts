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
    LeastLoadedScheduler,
    LocalCallGuard,
    PlatformWatch,
    RequestHandler,
    RetryBudget,
} from "../coordination/mod.js";
import type { ConfigurationPeers, Dissemination, Engine, LogService, PlainService, VmList } from "../protocol/mod.js";
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
    /** Configuration of other nodes. */
    readonly configurationPeers: ConfigurationPeers;
    readonly observer: CallObserver;
}

/** State and coordination of one entry VM. */
export class EntryNode {
    readonly view: ConfigurationView;
    readonly table = new BackendTable();
    readonly hybridClock: HybridClock;
    readonly ring: EventRing;
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
        const scheduler = new LeastLoadedScheduler(table, random);
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
        return this.follower.configured;
    }

    /** Starts the tasks that follow the platform. */
    start(): void {
        const keepEntryVms = (vms: readonly Vm[]) => {
            this.entryVms = vms.filter(vm => vm.role === VmRole.Entry);
        };
        void runEffects(tap(keepEntryVms, this.watch.lists), newDefaultScheduler());
        this.tasks = [this.follower.run(this.stopped.signal), this.watch.run(this.stopped.signal)];
    }

    /** Ends the tasks. */
    async stop(): Promise<void> {
        this.stopped.abort();
        await Promise.all(this.tasks);
    }
}
